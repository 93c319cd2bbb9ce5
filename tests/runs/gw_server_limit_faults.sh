# All three servers of a service name 3 requests a second to four daemons under
# load, while the allocator is killed and started again, the next one is paused for
# 1.5 s, and all are killed at once. No server gets more than its limit.
allocator() { grep -h '"sharing.allocator"' "$RIG_DIR"/d?.log | sort | tail -1 | jq -r .name; }
named_ms=$(date +%s%3N)
for n in 2 4 6; do gw_set_switches "$(gw_runner "$n")" limit=3; done
gw_load 18 faults 1 2 3 4 1 2 3 4 &
loading=$!
sleep 4
killed=$(allocator)
rig_kill "$killed" KILL
sleep 1.5
gw_start_daemon "${killed#d}"
sleep 3
paused=$(allocator)
rig_kill "$paused" STOP
sleep 1.5
rig_kill "$paused" CONT
sleep 2
for k in 1 2 3 4; do rig_kill "d$k" KILL; done
sleep 0.3
for k in 1 2 3 4; do gw_start_daemon "$k"; done
wait "$loading"
for n in 2 4 6; do
    tests/check_limits "$RIG_DIR/arrivals" "r$n" 3 "$named_ms" >&2 && echo "limit of r$n kept"
done
