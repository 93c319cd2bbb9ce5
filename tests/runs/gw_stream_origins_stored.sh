# Guards against streams that go on nowhere, since all daemons that knew which version of
# the servers' software began them are lost at once (LOST); and against origins that are
# written while one version serves, or for each stream.
export GW_RETRY_S=0.3
GW_TRIES=14
N=24
list_slots() { curl -s "http://$(gw_store)/pearstair/objects/pearstair-origins"; }
print_slots() { [ "$(list_slots | jq '.items | length')" = 0 ] && echo "no origins are stored"; }
begin() { for i in $(seq $N); do gw_take_up $((i % 4 + 1)) "$1-$i" 200 8 & done > "$RIG_DIR/$1"; }
restart_all() {
    local k
    for k in 1 2 3 4; do rig_kill "d$k" KILL; done
    sleep 0.4
    for k in 1 2 3 4; do gw_start_daemon "$k"; done
}
# print_result PREFIX - whether half or more of the streams are whole, and none mixed
print_result() {
    wait
    awk -v prefix="$1" '{ n++; mixed += $2 ~ /[+]/; whole += $NF == "whole" }
        END {
            print prefix ": " (2 * whole >= n ? "streams go on" : "streams are lost") ", " (mixed ? mixed " of two versions" : "none of two versions")
            print prefix, whole, "of", n, "whole" > "/dev/stderr" }' "$RIG_DIR/$1"
}
echo "== one version"
begin one
sleep 2
print_slots
restart_all
print_result one
print_slots
echo "== two versions, all daemons lost while their streams are running"
gw_change_versions v2 1 5 9
begin two
sleep 2.5
restart_all
print_result two
echo "== once more, twice in a row"
begin twice
sleep 2.5
restart_all
sleep 0.7
restart_all
print_result twice
echo "== the second version starts when the streams are running, and the first one leaves"
gw_change_versions v3 1 3 5 7 9 11
sleep 31 # until the others are forgotten
begin later
sleep 1
for n in 1 5 9; do GW_SERVER_VERSION[$n]=v4; rig_kill "r$n" KILL; gw_start_runner "$n" "r$n-v4"; done
sleep 2
restart_all
print_result later
echo "== calls"
begin calls
slots_written() { list_slots | jq '[.items[].metadata.revision] | max'; }
revision() { curl -s "http://$(gw_store)/counts" | jq .revision; }
sleep 1
from=$(cat "$RIG_DIR"/d?.log | grep -c '"origins.written"')
sleep 5
n=$(($(cat "$RIG_DIR"/d?.log | grep -c '"origins.written"') - from))
echo "slots written in 5 s: $n" >&2
[ "$n" -le 6 ] && echo "at most one write a second"
print_result calls
