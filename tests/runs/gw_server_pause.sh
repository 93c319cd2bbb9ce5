# Backend servers turn requests away and ask for a pause of 3 s: while it lasts at most two
# requests a daemon reach each of them, first one server, then all of the service.
# Callers are refused early then, and served again when the pause is over.
load() {
    local k
    for k in 1 2 3 4 1 2 3 4; do gw_load "$1" "$2" "$k" & done
    wait
}
# print_arrivals FROM_MS SERVER... - prints whether at most two requests a daemon
# reached these servers in 2.4 s
print_arrivals() {
    local from=$1 server
    shift
    for server in "$@"; do
        awk -v server="$server" -v from="$from" '$3 == server && $2 > from && $2 < from + 2400 { n++ }
            END { print server ": " (n <= 8 ? "at most two a daemon" : n " arrivals") }' "$RIG_DIR/arrivals"
    done
}
set_pause() {
    local n
    for n in "${@:2}"; do gw_set_switches "$(gw_runner "$n")" "$1"; done
}

gw_wait_for_slack
set_pause "reject=1&retry_after=3" 2
since=$(date +%s%3N)
load 3 one
set_pause "reject=0&retry_after=none" 2
print_arrivals $((since + 600)) r2
sleep 3.2
awk '$1 != 200 { n++ } END { print n + 0, "not served" }' "$RIG_DIR/answers-one"

set_pause "reject=1&retry_after=3.0" 2 4 6
since=$(date +%s%3N)
load 3 all
set_pause "reject=0&retry_after=none" 2 4 6
print_arrivals $((since + 600)) r2 r4 r6
sleep 3.2
load 1 after
awk '$1 != 200 { n++ } END { print n + 0, "not served" }' "$RIG_DIR/answers-after"
# An odd value is ignored.
set_pause "reject=1&retry_after=soon" 2 4 6
gw_load 1 odd 1
set_pause "reject=0&retry_after=none" 2 4 6
grep -q '"server.pause_malformed"' "$RIG_DIR/d1.log" && echo "logged"
