# Servers ask for pauses while requests take other ways to them than a daemon's first
# attempt: requests that another daemon carries, streams that are resumed, and requests
# that were placed before and whose connections are opened during the pause. Two of six
# daemons reach the servers themselves; each may send two requests in a pause.
load() {
    gw_load "$1" "$2" 1 2 3 4 5 6 &
    gw_try_load "$1" stream 1 2 3 4 5 6 &
    wait
}
# print_arrivals FROM_MS FOR_MS SERVER...
print_arrivals() {
    local from=$1 to=$(($1 + $2)) server
    shift 2
    for server in "$@"; do
        awk -v server="$server" -v from="$from" -v to="$to" '$3 == server && $2 > from && $2 < to { n++ }
            END { print server ": " (n <= 4 ? "at most two a daemon" : n " arrivals") }' "$RIG_DIR/arrivals"
    done
}
set_switches() {
    local n
    for n in "${@:2}"; do gw_set_switches "$(gw_runner "$n")" "$1"; done
}

gw_cut_off reset 1 2 3 4
sleep 2
echo "== some servers ask, of 2.5 s; the engines break streams off"
set_switches "cut=30" 3 5
set_switches "reject=1&retry_after=2.5" 1 2
since=$(date +%s%3N)
load 3 some
print_arrivals $((since + 600)) 1800 r1 r2
echo "== all servers of a service ask, and again at each rejection"
set_switches "cut=0" 3 5
set_switches "reject=1&retry_after=3" 2 4 6
since=$(date +%s%3N)
load 6 all
print_arrivals $((since + 600)) 2300 r2 r4 r6
print_arrivals $((since + 3700)) 2200 r2 r4 r6
echo "== connections open during the pause"
set_switches "reject=0&retry_after=none" 1 2 4 6
sleep 3.2
set_switches "reject=1&retry_after=3" 4
gw_cut_off hang 5 6
since=$(date +%s%3N)
load 3 hang &
sleep 0.7
gw_cut_off clear 5 6
wait
print_arrivals $((since + 1400)) 1500 r4
echo "== the first requests of daemons that one carries for, after it was told"
set_switches "reject=0&retry_after=none" 4
sleep 3.2
gw_cut_off reset 5
sleep 2
set_switches "reject=1&retry_after=3" 2 4 6
for i in 1 2 3; do gw_send_request 6 /safe/1 "told-$i" > /dev/null; done
since=$(date +%s%3N)
sleep 0.6
for i in 1 2 3 4 5; do
    gw_send_request "$i" /safe/1 "carried-$i" > /dev/null &
    sleep 0.3
done
wait
for i in r2 r4 r6; do
    awk -v server="$i" -v from="$since" '$3 == server && $2 > from + 500 && $2 < from + 2800 { n++ }
        END { print server ": " (n <= 2 ? "at most two" : n " arrivals") }' "$RIG_DIR/arrivals"
done
set_switches "reject=0&retry_after=none" 2 4 6
gw_cut_off clear 1 2 3 4 5
sleep 3.2
: > "$RIG_DIR/answers-after"
gw_load 1 after 1 2 3 4 5 6
awk '$1 != 200 { n++ } END { print n + 0, "not served" }' "$RIG_DIR/answers-after"
