# Learned limits on: a third of the servers are five times slower, engines and plain ones.
# They get little while the others have free slots, and a trial shows that one has become
# as fast. The allocator logs what it has learned, and metrics count the slow servers.
# send SECONDS RATE PATH LABEL - sends requests at this rate by way of all daemons
send() {
    "$RIG_BUILD/standin-callers" "$2" "$1" "$3" "$4" $(for i in $(seq "$GW_DAEMONS"); do gw_caller "$i"; done) > "$RIG_DIR/result-$4"
    cat "$RIG_DIR/result-$4" >&2
}
# judge_share LABEL SERVER SERVICE MOST - whether at most this share of the service's
# requests of this load arrived at the server
judge_share() {
    awk -v label="$1" -v server="$2" -v service="$3" -v most="$4" \
        '$1 ~ "^" label "-" && $4 == service { n++; at += $3 == server } END {
        printf "%s: %d of %d at %s\n", label, at, n, server > "/dev/stderr"
        print label ": " (n > 0 && at <= most * n ? "few at " server : at " of " n " at " server) }' "$RIG_DIR/arrivals"
}
gw_set_switches "$(gw_runner 1)" event_ms=60
gw_set_switches "$(gw_runner 2)" work_ms=100
send 4 60 /stream/1 learn &
send 4 60 /safe/1 plain-learn
wait $!
send 5 60 /stream/1 slow &
send 5 60 /safe/1 plain-slow
wait $!
judge_share slow r1 m .1
judge_share plain-slow r2 s .2
grep -h '"server.pace"' "$RIG_DIR"/d*.log | grep -q '"name":"r1".*"state":"slow"' && echo "r1 logged as slow"
for i in $(seq "$GW_DAEMONS"); do curl -s "http://$(gw_metrics "$i")/metrics"; done > "$RIG_DIR/metrics"
grep -q '^pearstair_servers_slow [12]$' "$RIG_DIR/metrics" && echo "slow servers counted"
awk '{ print ($2 > 0 && $4 >= .99 * $2) ? "plain requests served" : $0 }' "$RIG_DIR/result-plain-slow"

gw_set_switches "$(gw_runner 1)" event_ms=12
send 12 120 /stream/1 recovering
grep -h '"server.pace"' "$RIG_DIR"/d*.log | grep -q '"name":"r1".*"state":"open".*"trials":[1-9]' && echo "r1 known as fast after a trial"
