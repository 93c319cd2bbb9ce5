#!/usr/bin/env bash
# One tenant is hot (hot_tenant), and half of its callers have their channels to the daemon
# that divides the allowances. That daemon is killed, and with it what is known of its part of
# the spending: the next one grants it again.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/6
GW_DAEMONS=9
source review/lib.sh
RATE=78058 # of the smallest tenant of anlagg-drift; its burst is the same
UNITS=7050 # a landlord-report of the mean size: 6,670 + 380 tokens
review_print_config() {
    cat <<END
{"metadata":{"name":"main"},"spec":{"version":5,"routes":[
 {"name":"landlord-report","host":"a.example","pathPrefix":"/stream/","kind":"streaming","resumable":true,"sticky":true,"service":"pearstair-pool","timeoutMs":15000,"targetLatencyMs":800,"gapTargetMs":300,"priority":0,"maxAttempts":2}],
 "services":[{"name":"pearstair-pool","healthPath":"/health","maxConns":370,"engine":{"slots":12,"kvTokens":708314,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"team-1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":$RATE,"burst":$RATE}]}}
END
}
# send N ID - sends a request to daemon N, without waiting for the answer
send() {
    echo "$(review_now) sent $2 to front-$1" >> "$RECORD"
    curl -s -m 8 -o /dev/null -w "answered $2 %{http_code}\n" -X POST -d "report $2" -H 'Host: a.example' -H "Request-Id: $2" \
        -H 'Deadline-Ms: 15000' -H 'Authorization: Bearer key-1' -H "Token-Counts: 6670,380" "http://$(gw_caller "$1")/stream/1" >> "$RIG_DIR/answers" &
    SENDERS+=($!)
}
# send_for MS PREFIX DAEMON... - sends 46 requests a second, in turn to these daemons
send_for() {
    local i=0 end=$(($(review_now) + $1)) prefix=$2 daemons
    shift 2
    daemons=("$@")
    local next
    next=$(review_now)
    while [ "$(review_now)" -lt "$end" ]; do
        i=$((i + 1))
        send "${daemons[$((i % ${#daemons[@]}))]}" "$prefix-$i"
        next=$((next + 22))
        local left=$((next - $(review_now)))
        [ "$left" -le 0 ] || sleep "0.$(printf %03d "$left")"
    done
}
SENDERS=()
review_start_store
gw_set_switches "$(gw_store)" "registration_ttl_ms=3600"
for i in 1 2 3 4 5 6 7 8 9; do
    rig_start_process "r$i" build/standin-runner "$(gw_runner "$i")" "$(gw_store)" "i-$i" pearstair-pool 12 "$(gw_runner "$i")" \
        "$RIG_DIR/arrivals" 1200 v1
done
review_start_daemons
sleep 10 # more than a window after the start
# Which daemon divides the allowances follows from their names; the script checks it.
grep -h '"sharing.allocator"' "$RIG_DIR/d2.log" | tail -1 | grep -q '"name":"front-1"' || review_fail "front-1 doesn't divide the allowances"
# 7.5 times the usual, RATE / 1.8, for 6.5 s: 46 requests a second
send_for 3000 a 1 4 1 7
if [ "$TROUBLE" != 0 ]; then
    review_note "SIGKILL to front-1"
    rig_kill d1 KILL
    send_for 3500 b 2 4 5 7
else
    send_for 3500 b 1 4 1 7
fi
wait "${SENDERS[@]}"
cat "$RIG_DIR/answers" >> "$RECORD"
sed 's/^/arrived /' "$RIG_DIR/arrivals" >> "$RECORD"
# The largest sum, over all windows of 8 s, of what was sent and arrived within it
awk -v units="$UNITS" -v rate="$RATE" '$2 == "sent" { sent[$3] = $1; n++ }
    $1 == "answered" { status[$3]++ }
    $1 == "arrived" && $6 == "ran" { at[$2] = $3 }
    END {
        limit = (rate * 8 + rate) * 1.1 + 140000
        for (first in at) {
            sum = 0
            for (id in at) if (sent[id] >= sent[first] && at[id] <= sent[first] + 8000) sum += units
            if (sum > most) most = sum
        }
        printf "%d requests, %d answered 200, %d 429; %d have run; in one window of 8 s %d tokens, allowed %d\n", n, status[200], status[429], length(at), most, limit
        exit n < 200 ? 2 : most > limit }' "$RECORD" > "$RIG_DIR/verdict"
result=$?
tee -a "$RECORD" < "$RIG_DIR/verdict"
exit $result
