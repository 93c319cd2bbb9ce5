# A backend server says in its answers that it leaves, while its registration doesn't:
# 2.5 s later nothing reaches it, with the store down as well. Streams there go on. When
# it has started again under its name it is used again.
# load SECONDS - sends requests of service s to all daemons, four at a time each
load() {
    local k
    for k in 1 2 3 4 1 2 3 4 1 2 3 4 1 2 3 4; do gw_load "$1" "load-$k" "$k" & done
    wait
}
# count_arrivals SERVER FROM_MS - prints how many requests reached it since
count_arrivals() { awk -v server="$1" -v from="$2" '$3 == server && $2 > from { n++ } END { print n + 0 }' "$RIG_DIR/arrivals"; }

gw_set_switches "$(gw_store)" down=1
gw_set_switches "$(gw_runner 2)" says_leaving=1
gw_set_switches "$(gw_runner 1)" says_leaving=1
for i in $(seq 12); do gw_send_stream $((i % 4 + 1)) "stream-$i" 100 & done | sort | uniq -c | sed 's/^ *//'
load 2
since=$(date +%s%3N)
sleep 2
load 4
echo "arrivals at the leaving server: $(count_arrivals r2 $((since + 500)))"
cat "$RIG_DIR"/answers-load-* | sort | uniq -c | awk '$2 != 200 { n += $1 } END { print n + 0, "not served" }'
gw_set_switches "$(gw_store)" down=0
rig_kill r2 KILL
gw_restart_runner 2
sleep 2
since=$(date +%s%3N)
load 2
[ "$(count_arrivals r2 "$since")" -gt 0 ] && echo "used again after a new start"
