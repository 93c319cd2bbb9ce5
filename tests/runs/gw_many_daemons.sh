# 60 daemons before few slots of a plain service: requests are served at load .15, and
# calls to the store stay few for each daemon, in calm and when all are killed at once and
# start anew.
count_calls() { curl -s "http://$(gw_store)/counts" | jq .calls; }
# Calls of the servers, which renew their registrations each 400 ms, are not counted.
start_calls() { calls=$(count_calls) since=$(date +%s%3N); }
# judge_calls LABEL MOST - whether each daemon made at most this many calls since
# start_calls
judge_calls() {
    awk -v label="$1" -v most="$2" -v n="$(($(count_calls) - calls))" -v ms="$(($(date +%s%3N) - since))" -v daemons="$GW_DAEMONS" -v servers="$GW_RUNNERS" 'BEGIN {
        each = (n - servers * ms / 400) / daemons
        printf "%s: %.1f calls a daemon in %d ms\n", label, each, ms > "/dev/stderr"
        print label ": " (each <= most ? "few calls to the store" : each " calls to the store for each daemon") }'
}
# send LABEL - sends 120 requests a second for 5 s by way of all daemons
send() {
    "$RIG_BUILD/standin-callers" 120 5 /safe/1 "$1" $(for i in $(seq "$GW_DAEMONS"); do gw_caller "$i"; done) > "$RIG_DIR/result"
    cat "$RIG_DIR/result" >&2
    awk -v label="$1" '{ print label ": " ($4 >= .99 * $2 ? "served" : $4 " of " $2 " served") }' "$RIG_DIR/result"
}

sleep 3
start_calls
send calm
judge_calls calm 3

# A start takes five calls: three lists, the allocator's state, the registration.
start_calls
for i in $(seq "$GW_DAEMONS"); do rig_kill "d$i" KILL; done
for i in $(seq "$GW_DAEMONS"); do gw_start_daemon "$i"; done
for i in $(seq "$GW_DAEMONS"); do rig_wait_until 10 gw_serves "$i" || echo "d$i doesn't serve"; done
sleep 2
judge_calls restart 8
send restarted
