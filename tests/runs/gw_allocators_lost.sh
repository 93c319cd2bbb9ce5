# Guards against daemons that never again agree on an allocator when those are lost for
# good that they would choose first, more than half of all (BUDGET); the lost ones stay
# registered then, and each daemon bans a crashing request by its own crashes alone.
get_choice() { grep -h '"sharing.allocator"' "$RIG_DIR/d$1.log" | tail -1 | jq -r .name; }
left=$(seq "$GW_DAEMONS")
list_choices() { for i in $left; do get_choice "$i"; done | sort | uniq -c | sort -rn; }
# find_allocator - sets $allocator to the daemon that most of those left have chosen
find_allocator() { allocator=$(list_choices | awk 'NR == 1 { print substr($2, 2) }'); rig_is_alive "d$allocator"; }
agree() { [ "$(list_choices | wc -l)" = 1 ] && find_allocator; }
are_granted() { for i in $left; do [ "$(grep -h '"sharing.even"\|"sharing.granted"' "$RIG_DIR/d$i.log" | tail -1 | jq -r .event)" = sharing.granted ] || return 1; done; }
rig_wait_until 5 agree && echo "all daemons agree"
for k in 1 2 3 4 5; do
    rig_wait_until 3 find_allocator
    rig_kill "d$allocator" KILL
    left=$(echo $left | tr ' ' '\n' | grep -vx "$allocator")
    sleep 0.5
done
lost_ms=$(date +%s%3N)
rig_wait_until 5 agree && are_granted && echo "the four that are left agree on one of them"
echo "after $(($(date +%s%3N) - lost_ms)) ms" >&2
sleep 3
agree && are_granted && echo "they still do"
echo "== a crashing request"
send_crashing() { for i in $left; do gw_send_crashing "$i" "$1-$i" > /dev/null; for n in 2 4 6; do rig_is_alive "r$n" || { sleep 1; gw_restart_runner "$n"; }; done; done; }
for k in 1 2 3; do send_crashing "$k"; done
n=$(awk '$1 ~ /^crashing-/ && $5 == "ran"' "$RIG_DIR/arrivals" | wc -l)
echo "it ran $n times" >&2
[ "$n" -le 4 ] && echo "it is banned by the crashes at all daemons"
echo "== the lost ones"
list_members() { curl -s "http://$(gw_store)/pearstair/objects/pearstair-members" | jq -r '.items[].metadata.name' | sort; }
are_gone() { [ "$(list_members)" = "$(for i in $left; do echo "d$i"; done | sort)" ]; }
rig_wait_until 25 are_gone && echo "are removed from the store"
names_left() { for i in $left; do [ "$(gw_addresses "$i" | wc -l)" = 4 ] || return 1; done; }
rig_wait_until 3 names_left && echo "and named to callers no more"
echo "living daemons that were removed: $(for i in $left; do cat "$RIG_DIR"/d?.log | grep '"member.dead"' | grep -c "\"name\":\"d$i\""; done | awk '{ n += $1 } END { print n }')"
