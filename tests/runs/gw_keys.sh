# API keys are removed and quotas lowered: in force at all live daemons within a
# second.
for i in 1 2 3; do GW_KEY=' Bearer key-2' gw_send_request "$i" /safe/x "a-$i"; done
gw_put_config 6 '"key-1"'
sleep 1
for i in 1 2 3; do GW_KEY=' Bearer key-2' gw_send_request "$i" /safe/x "b-$i"; done
echo "== an older configuration version is ignored"
gw_put_config 4
sleep 1
for i in 1 2 3; do GW_KEY=' Bearer key-2' gw_send_request "$i" /safe/x "c-$i"; done
echo "== a quota of 100 units in the window, 10 for each request, over all daemons"
gw_put_config 7 '"key-1"' 11
sleep 9
for i in $(seq 40); do gw_send_request $((i % 3 + 1)) /safe/x "d-$i"; done > "$RIG_DIR/d"
n=$(grep -c '200 ok' "$RIG_DIR/d")
[ "$n" -ge 6 ] && [ "$n" -le 14 ] && echo "about ten are served"
grep -v '200 ok' "$RIG_DIR/d" | sort -u
