#!/usr/bin/env bash
# One tenant sends 7.5 times its usual (hot_tenant), in requests of the largest prompt of the
# site's landlord-report. Each daemon that holds any part of the tenant's quota, however
# small, admits one more whole request.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/3
GW_DAEMONS=9
source review/lib.sh
RATE=78058 # of the smallest tenant of anlagg-drift; its burst is the same
TOKENS=54600,400
UNITS=55000
review_print_config() {
    cat <<END
{"metadata":{"name":"main"},"spec":{"version":5,"routes":[
 {"name":"landlord-report","host":"a.example","pathPrefix":"/stream/","kind":"streaming","resumable":true,"sticky":true,"service":"pearstair-pool","timeoutMs":15000,"targetLatencyMs":800,"gapTargetMs":300,"priority":0,"maxAttempts":2}],
 "services":[{"name":"pearstair-pool","healthPath":"/health","maxConns":370,"engine":{"slots":12,"kvTokens":708314,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":5000},
 "tenants":[{"name":"team-1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":$RATE,"burst":$RATE}]}}
END
}
# send_together ID... - sends these requests at the same moment, each to another daemon
send_together() {
    local id n=0 file=$RIG_DIR/together-$1
    { echo "parallel"; echo "parallel-immediate"; echo "no-progress-meter"; } > "$file"
    for id in "$@"; do
        n=$((NEXT_DAEMON++ % GW_DAEMONS + 1))
        [ "$id" = "$1" ] || echo "next" >> "$file"
        cat >> "$file" <<END
url = "http://$(gw_caller $n)/stream/1"
request = POST
data = "report $id"
header = "Host: a.example"
header = "Request-Id: $id"
header = "Deadline-Ms: 15000"
header = "Authorization: Bearer key-1"
header = "Token-Counts: $TOKENS"
max-time = 16
output = "$RIG_DIR/body-$id"
write-out = "$id %{http_code}\n"
END
        review_note "sent $id to front-$n"
    done
    curl -K "$file" >> "$RIG_DIR/answers" 2> /dev/null &
    SENDERS+=($!)
}
NEXT_DAEMON=0
SENDERS=()
review_start_store
gw_set_switches "$(gw_store)" "registration_ttl_ms=3600"
for i in 1 2 3 4 5 6 7 8 9; do
    rig_start_process "r$i" build/standin-runner "$(gw_runner "$i")" "$(gw_store)" "i-$i" pearstair-pool 12 "$(gw_runner "$i")" \
        "$RIG_DIR/arrivals" 1200 v1
done
review_start_daemons
sleep 10 # more than a window after the start
if [ "$TROUBLE" != 0 ]; then
    # 19 requests, 1,045,000 tokens, in 3.2 s: 7.5 times the usual, RATE / 1.8
    for i in $(seq 10); do send_together "a-$i"; sleep 0.32; done
    send_together b-1 b-2 b-3 b-4 b-5 b-6 b-7 b-8 b-9
else
    # the same requests at the usual rate: one each 1.27 s
    for i in $(seq 10); do send_together "a-$i"; sleep 1.27; done
    send_together b-1 b-2 b-3 b-4 b-5 b-6 b-7 b-8 b-9
fi
wait "${SENDERS[@]}"
sed 's/^/answered /' "$RIG_DIR/answers" >> "$RECORD"
sed 's/^/arrived /' "$RIG_DIR/arrivals" >> "$RECORD"
# The largest sum, over all windows of 8 s, of what was sent and arrived within it
awk -v units="$UNITS" -v rate="$RATE" '$2 == "sent" { sent[$3] = $1 }
    $1 == "answered" { n++ }
    $1 == "arrived" && $6 == "ran" { at[$2] = $3 }
    END {
        limit = (rate * 8 + rate) * 1.1 + 140000
        for (first in at) {
            sum = 0
            for (id in at) if (sent[id] >= sent[first] && at[id] <= sent[first] + 8000) sum += units
            if (sum > most) most = sum
        }
        printf "%d answers, %d requests have run; in one window of 8 s %d tokens, allowed %d\n", n, length(at), most, limit
        exit n < 19 ? 2 : most > limit }' "$RECORD" > "$RIG_DIR/verdict"
result=$?
tee -a "$RECORD" < "$RIG_DIR/verdict"
exit $result
