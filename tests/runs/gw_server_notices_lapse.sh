# The registration of a backend server is removed again and again and is back with its next
# heartbeat, while the server goes on running. What it has said of itself still holds:
# the pause that it has asked for, and then that it leaves.
lapse() { curl -sf -X DELETE "http://$(gw_store)/pearstair/objects/servers/r2" > /dev/null; }
load() { gw_load "$1" "$2" 1 2 3 1 2 3 1 2 3 1 2 3; }

# print_arrivals FROM_MS TO_MS MOST - prints how many requests reached the server
print_arrivals() {
    awk -v from="$1" -v to="$2" -v most="$3" '$3 == "r2" && $2 > from && $2 < to { n++ }
        END { print (n <= most ? "at most " most : n " arrivals") }' "$RIG_DIR/arrivals"
}

gw_wait_for_slack
gw_set_switches "$(gw_runner 2)" "reject=1&retry_after=3"
since=$(date +%s%3N)
load 4 pause &
for _ in 1 2 3; do
    sleep 0.6
    lapse
done
wait
echo "pause: $(print_arrivals $((since + 800)) $((since + 2900)) 6)" # two a daemon
gw_set_switches "$(gw_runner 2)" "reject=0&retry_after=none"
sleep 3.5

gw_set_switches "$(gw_runner 2)" "says_leaving=1"
load 2 told
since=$(date +%s%3N)
load 3 leaving &
for _ in 1 2; do
    sleep 0.6
    lapse
done
wait
echo "leaving: $(print_arrivals "$since" $((since + 5000)) 0)"
awk '$1 != 200 { n++ } END { print n + 0, "not served" }' "$RIG_DIR"/answers-*
