# The daemon that divides the slots is killed, then paused: service goes on.
allocator() { grep -h '"sharing.allocator"' "$RIG_DIR/d1.log" | tail -1 | jq -r .name; }
good() { for i in $(seq 30); do gw_stream "$1" "$2-$i" 4; done | grep -c '200 whole'; }
first=$(allocator)
other=$([ "$first" = d1 ] && echo 2 || echo 1)
rig_kill "$first" KILL
echo "after a kill: $(good "$other" a)"
next() { grep -h '"sharing.granted"' "$RIG_DIR/d$other.log" | tail -1 | jq -r .allocator; }
changed() { [ "$(next)" != "$first" ]; }
rig_until 4 changed && echo "another daemon divides the slots"
dead() { ! gw_addresses "$other" | grep -q "$(gw_caller "${first#d}")"; }
rig_until 6 dead && echo "the dead one is no longer registered"
second=$(next)
if [ "$second" = "d$other" ]; then other=$((6 - ${first#d} - other)); fi
rig_kill "$second" STOP
echo "during a pause: $(good "$other" b)"
rig_kill "$second" CONT
gw_start_daemon "${first#d}"
all() { [ "$(gw_addresses "$other" | wc -l)" = 3 ]; }
rig_until 6 all && echo "all are registered"
sleep 1
echo "after it: $(good "$other" c)"
# Long enough for rare reads of the store; the entry ends waiting watches.
sleep 3
curl -sf -X POST -d '{"metadata":{"name":"x"},"spec":{}}' "http://$(gw_store)/pearstair/objects/pearstair-members" > /dev/null
sleep 1
for i in 1 2 3; do
    third=$(grep -h '"sharing.allocator"' "$RIG_DIR/d$i.log" | tail -1 | jq -r .name)
    [ "$third" = "d$i" ] || other=$i
done
last=$((6 - other - ${third#d}))
# Long enough to be given up, not to be taken for dead: no member changes.
rig_kill "$third" STOP
sleep 1.6
rig_kill "$third" CONT
chosen() { for i in 1 2 3; do grep -h '"sharing.allocator"' "$RIG_DIR/d$i.log" | tail -1 | jq -r .name; done | sort -u; }
agree() { [ "$(chosen)" = "$third" ]; }
rig_until 6 agree && echo "all return to the allocator after a short pause"
rig_kill "$third" TERM
unlisted() { ! { gw_addresses "$other"; gw_addresses "$last"; } | grep -q "$(gw_caller "${third#d}")"; }
rig_until 1 unlisted && echo "a leaving allocator is absent from all addresses within a second"
echo "while it leaves: $(good "$other" d)"
