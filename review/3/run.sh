#!/usr/bin/env bash
# A daemon gets SIGTERM while a server works on unsafe requests. As its time to end comes, it
# answers them 503, which promises that they haven't run.
cd "$(dirname "$0")/../.." || exit 2
CASE=$PWD/review/3
RECORD=$CASE/record.txt # what was sent, answered and run
GW_DAEMONS=3
source review/lib.sh
review_print_config() {
    cat <<END
{"metadata":{"name":"main"},"spec":{"version":5,"routes":[
 {"name":"landlord-report","host":"a.example","pathPrefix":"/report/","kind":"unsafe","service":"platsregister","timeoutMs":15000,"targetLatencyMs":800,"priority":0,"maxAttempts":1}],
 "services":[{"name":"platsregister","healthPath":"/health","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":5000},
 "tenants":[{"name":"team-1","apiKeys":["key-1"],"priority":1}]}}
END
}
GW_HEARTBEAT_MS=1200
GW_SLOTS=6
export RUNNER_WORK_MS=9000
review_start_store
gw_set_switches "$(gw_store)" "registration_ttl_ms=3600"
# Servers with even numbers belong to the service s: started here for platsregister
for i in 1 2 3; do
    rig_start_process "r$i" build/standin-runner "$(gw_runner "$i")" "$(gw_store)" "i-$i" platsregister 6 "$(gw_runner "$i")" \
        "$RIG_DIR/arrivals" 1200 v1
done
review_start_daemons
sleep 1
senders=()
for i in 1 2 3 4 5 6; do
    review_send_retrying 1 POST /report/1 "a-$i" 15000 -d "report $i" &
    senders+=($!)
done
sleep 0.5
if [ "$TROUBLE" != 0 ]; then
    review_note "SIGTERM to front-1"
    rig_kill d1 TERM
fi
wait "${senders[@]}"
[ "$TROUBLE" = 0 ] || { rig_wait_exit d1 10 && review_note "front-1 has ended" || review_fail "front-1 doesn't end"; }
sed 's/^/arrived /' "$RIG_DIR/arrivals" >> "$RECORD"
awk '$2 == "answered" { status[$3] = $4 }
    $1 == "arrived" && $6 == "ran" { runs[$2]++ }
    END {
        for (id in status) {
            n++; served += status[id] == 200; ran += runs[id] > 0
            refused += runs[id] > 0 && status[id] ~ /^(408|421|429|503)$/
            again += runs[id] > 0 && runs[id "r"] > 0
        }
        printf "%d requests, %d have run, %d served; answered 408, 421, 429 or 503 though they have run: %d; sent again by their requester and run again: %d\n", n, ran, served, refused, again
        exit ran < 6 ? 2 : refused > 0 }' "$RECORD" > "$RIG_DIR/verdict"
result=$?
tee -a "$RECORD" < "$RIG_DIR/verdict"
exit $result
