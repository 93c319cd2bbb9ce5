# The admin API and pearstairctl: tokens, exit codes, checks of files.
for path in /v1/config /v1/status /v1/backends /v1/nothing; do
    echo "$path without token: $(curl -s -o /dev/null -w '%{http_code}' "http://$(rig_admin 1)$path")"
done
echo "wrong token: $(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer rig-token-0002' "http://$(rig_admin 1)/v1/status")"
"$RIG_BUILD/pearstairctl" -a "$(rig_admin 1)" -t wrong-token status; echo "exit $?"
"$RIG_BUILD/pearstairctl" -a 127.0.0.1:9 -t x status 2> /dev/null; echo "exit $?"
"$RIG_BUILD/pearstairctl" -a nowhere status; echo "exit $?"
"$RIG_BUILD/pearstairctl" fly; echo "exit $?"
"$RIG_BUILD/pearstairctl" check; echo "exit $?"
rig_ctl 1 backend leave nobody; echo "exit $?"
rig_ctl 1 backend fly e1; echo "exit $?"
rig_ctl 1 apply "$RIG_DIR/config.json"; echo "exit $?"
rig_ctl 1 backends --json | jq -c '.backends[0] | [.name, .pool, .state]'
rig_ctl 2 status --json | jq -c '[.daemon, .leaving, (.members | length)]'
echo "metrics: $(curl -s "http://$(rig_admin 1)/metrics" | grep -c '^pearstair_')"
for f in examples/*.json; do "$RIG_BUILD/pearstairctl" check "$f"; done
for f in examples/*.ini; do "$RIG_BUILD/pearstaird" --settings "$f" --check; done
"$RIG_BUILD/pearstaird" --settings "$RIG_DIR/none.ini" 2>&1 | sed "s|$RIG_DIR/||g"; echo "exit ${PIPESTATUS[0]}"
"$RIG_BUILD/pearstaird" --settings "$RIG_DIR/d1.ini" > /dev/null 2>&1; echo "address in use: exit $?"
