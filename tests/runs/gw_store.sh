# The store is down, hangs, loses answers and forgets past changes, and holds
# malformed objects; requests are served as far as API keys are confirmed.
is_served() { [ "$(gw_send_request "$1" /safe/x "probe-$RANDOM$RANDOM")" = "200 ok" ]; }
echo "== down for less than revoke_ms: served"
gw_set_switches "$(gw_store)" down=1
sleep 2
for i in 1 2 3; do is_served $i && echo "daemon $i serves"; done
echo "== down for longer: API keys are refused, public routes are served"
sleep 4
gw_send_request 1 /safe/x id-1
GW_KEY= gw_send_request 1 /open/x id-2
gw_is_ready 1 > /dev/null || echo "not ready"
gw_set_switches "$(gw_store)" down=0
rig_wait_until 3 is_served 1 && echo "served again"
for i in 2 3; do rig_wait_until 3 is_served $i; done
echo "== hangs"
gw_set_switches "$(gw_store)" hang=1
sleep 1
is_served 2 && echo "daemon 2 serves"
gw_set_switches "$(gw_store)" hang=0
rig_wait_until 4 gw_is_ready 2 && echo "ready"
echo "== a new configuration version while past changes are forgotten"
gw_set_switches "$(gw_store)" compact=1
gw_put_config 9
is_applied() { [ "$(grep -l '"config.apply","version":9' "$RIG_DIR"/d?.log | wc -l)" = 3 ]; }
rig_wait_until 2 is_applied && echo "in force at all daemons"
echo "== the store's answer is lost: a daemon started again registers all the same"
gw_set_switches "$(gw_store)" lose=1
rig_kill d3 KILL
rig_wait_exit d3 2
gw_start_daemon 3
rig_wait_until 8 gw_serves 3 && echo "serves"
echo "== malformed objects of other writers"
add_server() { curl -sf -X POST -d "$1" "http://$(gw_store)/pearstair/objects/servers" > /dev/null; }
add_server '{"metadata":{"name":"x1"},"spec":{"service":"s","address":"nowhere","slots":4,"state":"ready"}}'
add_server '{"metadata":{"name":"x2"},"spec":{"service":7,"address":"127.0.0.1:1","slots":4,"state":"ready"}}'
add_server '{"metadata":{"name":"x3"},"spec":"text"}'
add_server '{"metadata":{"name":"x4"},"spec":{"service":"s","address":"127.0.0.1:1","slots":"4","state":"ready"}}'
add_server '{"metadata":{"name":"x5"},"spec":{"service":"s","address":"127.0.0.1:1","slots":4,"state":"asleep"}}'
add_server '{"metadata":{"name":"x6"},"spec":{"service":"s","address":"127.0.0.1:1","slots":4,"state":"ready","born":"now"}}'
sleep 0.5
for i in $(seq 10); do gw_send_request 1 /safe/x "after-$i"; done | sort | uniq -c | sed 's/^ *//'
echo "objects named in a log: $(cat "$RIG_DIR"/d?.log | grep -o '"store.malformed","kind":"servers","name":"x[0-9]"' | sort -u | wc -l)"
[ "$(cat "$RIG_DIR"/d?.log | grep -c '"member.join"')" -lt 60 ] && echo "members are not announced without end"
