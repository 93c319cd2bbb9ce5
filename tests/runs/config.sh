# A configuration that was accepted is in force at every live daemon and is
# never reverted.
get_version() { rig_ctl "$1" status --json | jq .config_version; }
has_version() { [ "$(get_version "$1")" -ge "$2" ]; }
rig_ctl 1 get -o "$RIG_DIR/now.json" 2> "$RIG_DIR/version"
base=$(awk '{print $2}' "$RIG_DIR/version")
jq '.teams[0].weight = 3' "$RIG_DIR/now.json" > "$RIG_DIR/a.json"
jq '.rules[0].name = "renamed"' "$RIG_DIR/now.json" > "$RIG_DIR/b.json"
echo "== two operators edit the same version"
rig_ctl 1 apply "$RIG_DIR/a.json" --version "$base" > "$RIG_DIR/out-a" 2>&1 &
a=$!
rig_ctl 2 apply "$RIG_DIR/b.json" --version "$base" > "$RIG_DIR/out-b" 2>&1 &
b=$!
wait $a; code_a=$?
wait $b; code_b=$?
echo "exit codes: $(printf '%s\n' $code_a $code_b | sort -n | tr '\n' ' ')"
cat "$RIG_DIR/out-a" "$RIG_DIR/out-b" | grep -v valid | sed -E 's/version (is )?[0-9]+/version \1N/; s/differ: .*/differ: KEYS/' | sort
now=$(get_version 1)
[ "$now" -gt "$base" ] || now=$(get_version 2)
for i in 1 2 3; do rig_wait_until 5 has_version "$i" "$now" && echo "in force at d$i"; done
echo "== accepted, then an outage, then stale reads"
rig_set_switches platform 0 stale=1
rig_ctl 3 backend leave e3 | sed -E 's/[0-9]+/N/'
rig_set_switches platform 0 down=1
now=$(get_version 3)
for i in 1 2 3; do rig_wait_until 5 has_version "$i" "$now" && echo "in force at d$i"; done
echo "== a daemon restarts during the outage"
rig_kill d2 KILL
rig_start_daemon 2
rig_wait_until 10 has_version 2 "$now" && echo "d2 got it from a peer"
rig_set_switches platform 0 down=0
sleep 2
for i in 1 2 3; do [ "$(get_version "$i")" -ge "$now" ] && echo "not reverted at d$i"; done
rig_set_switches platform 0 stale=0
echo "== the platform's answer is lost after the write"
rig_ctl 1 get -o "$RIG_DIR/now.json" 2> "$RIG_DIR/version"
base=$(awk '{print $2}' "$RIG_DIR/version")
jq '.teams[0].weight = 5' "$RIG_DIR/now.json" > "$RIG_DIR/c.json"
rig_set_switches platform 0 lose=1
rig_ctl 1 apply "$RIG_DIR/c.json" --version "$base" | grep -c 'in force'
echo "weight in force: $(rig_ctl 1 get 2> /dev/null | jq '.teams[0].weight')"
echo "== an invalid configuration is refused as a whole"
jq '.rules[1].then.pool = "nowhere"' "$RIG_DIR/now.json" > "$RIG_DIR/bad.json"
rig_ctl 1 apply "$RIG_DIR/bad.json" --version "$base" 2>&1 | sed "s|$RIG_DIR/||"
curl -s -X PUT -H "Authorization: Bearer $RIG_TOKEN" -H 'If-Match: 1' --data-binary "@$RIG_DIR/bad.json" "http://$(rig_admin 1)/v1/config"
echo
