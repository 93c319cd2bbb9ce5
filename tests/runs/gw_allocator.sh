# The allocator, the daemon that divides the slots, is killed, paused and shut
# down in turn: requests are served throughout.
get_allocator() { grep -h '"sharing.allocator"' "$RIG_DIR/d1.log" | tail -1 | jq -r .name; }
# count_whole_streams N PREFIX - prints how many of 30 streams through daemon N
# are whole
count_whole_streams() { for i in $(seq 30); do gw_send_stream "$1" "$2-$i" 4; done | grep -c '200 whole'; }
first=$(get_allocator)
other=$([ "$first" = d1 ] && echo 2 || echo 1)
rig_kill "$first" KILL
echo "whole streams after a kill: $(count_whole_streams "$other" a)"
get_granting_allocator() { grep -h '"sharing.granted"' "$RIG_DIR/d$other.log" | tail -1 | jq -r .allocator; }
has_changed() { [ "$(get_granting_allocator)" != "$first" ]; }
rig_wait_until 4 has_changed && echo "another daemon divides the slots"
is_removed() { ! gw_addresses "$other" | grep -q "$(gw_caller "${first#d}")"; }
rig_wait_until 6 is_removed && echo "the killed daemon is no longer registered"
second=$(get_granting_allocator)
if [ "$second" = "d$other" ]; then other=$((6 - ${first#d} - other)); fi
rig_kill "$second" STOP
echo "whole streams during a pause: $(count_whole_streams "$other" b)"
rig_kill "$second" CONT
gw_start_daemon "${first#d}"
are_registered() { [ "$(gw_addresses "$other" | wc -l)" = 3 ]; }
rig_wait_until 6 are_registered && echo "all daemons are registered"
sleep 1
echo "whole streams after the pause: $(count_whole_streams "$other" c)"
# After 3 s without changes the daemons rely on the allocator: the others list
# the store only every 12 s and start no watches. The added object ends watches
# that still wait.
sleep 3
curl -sf -X POST -d '{"metadata":{"name":"x"},"spec":{}}' "http://$(gw_store)/pearstair/objects/pearstair-members" > /dev/null
sleep 1
for i in 1 2 3; do
    third=$(grep -h '"sharing.allocator"' "$RIG_DIR/d$i.log" | tail -1 | jq -r .name)
    [ "$third" = "d$i" ] || other=$i
done
last=$((6 - other - ${third#d}))
# Pauses the allocator long enough for another daemon to take its place, but
# too briefly to count as not live, so that no registration changes.
rig_kill "$third" STOP
sleep 1.6
rig_kill "$third" CONT
list_chosen_allocators() { for i in 1 2 3; do grep -h '"sharing.allocator"' "$RIG_DIR/d$i.log" | tail -1 | jq -r .name; done | sort -u; }
all_agree() { [ "$(list_chosen_allocators)" = "$third" ]; }
rig_wait_until 6 all_agree && echo "all daemons return to the allocator after a short pause"
rig_kill "$third" TERM
is_absent() { ! { gw_addresses "$other"; gw_addresses "$last"; } | grep -q "$(gw_caller "${third#d}")"; }
rig_wait_until 1 is_absent && echo "a leaving allocator is absent from all addresses within a second"
echo "whole streams while it is leaving: $(count_whole_streams "$other" d)"
