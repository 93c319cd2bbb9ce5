#!/usr/bin/env bash
# measure_memory.sh [PORT] - Measures the peak resident memory of one daemon with
# memory_mb = 112: with 1,000 slow readers of streams, 200 answers without end and 500
# slow bodies of 4 MB at the same time, and with answers of 1 GiB, one after another.
# The figures go to docs/MEASUREMENTS.md; this is no check.
cd "$(dirname "$0")/.."
RIG_PORT=${1:-2000} GW_DAEMONS=1 GW_RUNNERS=4 GW_SLOTS=2000 GW_MEMORY_MB=${GW_MEMORY_MB:-112}
source tests/rig.sh
source tests/gateway_rig.sh
gw_print_config() {
    cat <<END
{"metadata":{"name":"main"},"spec":{"version":$1,"routes":[
 {"name":"r-once","host":"a.example","pathPrefix":"/once/","kind":"unsafe","service":"s","timeoutMs":60000,"targetLatencyMs":60000,"priority":1,"maxAttempts":1},
 {"name":"r-safe","host":"a.example","pathPrefix":"/safe/","kind":"safe","service":"s","timeoutMs":60000,"targetLatencyMs":60000,"priority":1,"maxAttempts":2},
 {"name":"r-stream","host":"a.example","pathPrefix":"/stream/","kind":"streaming","resumable":true,"sticky":true,"service":"m","timeoutMs":60000,"targetLatencyMs":60000,"gapTargetMs":300,"priority":0,"maxAttempts":2}],
 "services":[{"name":"s","healthPath":"/health","maxConns":5000},{"name":"m","healthPath":"/health","maxConns":5000,"engine":{"slots":2000,"kvTokens":100000,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":30000},
 "tenants":[{"name":"team-1","apiKeys":["key-1"],"priority":1}]}}
END
}
show_memory() { awk -v what="$1" '/^VmHWM|^VmRSS/ { printf "%s: %s %.1f MiB\n", what, $1, $2 / 1024 }' "/proc/${RIG_PID[d1]}/status"; }
reset_peak() { echo 5 > "/proc/${RIG_PID[d1]}/clear_refs"; }
# read_answers WHAT ARGS... - as standin-readers, at daemon 1
read_answers() {
    local what=$1
    shift
    echo "$what: $("$RIG_BUILD/standin-readers" "$@" "$(gw_caller 1)")"
}
gw_start
show_memory "idle"
if [ "${MEASURE:-mix}" = readers ]; then
    read_answers "1,000 slow readers" 1000 10000 10 POST /stream/pad-1000 slow 0 0 100000 &
    sleep 8
    show_memory "readers"
    curl -s "http://$(gw_metrics 1)/" | grep -E "pearstair_(bytes|in_progress)"
    wait $!
fi
if [ "${MEASURE:-mix}" = mix ]; then
    read_answers "1,000 slow readers" 1000 10000 20 POST /stream/pad-1000 slow 0 0 100000 &
    one=$!
    read_answers "100 plain answers without end" 100 0 20 POST /once/endless plain 0 0 0 &
    two=$!
    read_answers "100 streams with an event without end" 100 0 20 POST /stream/endless event 0 0 100 &
    three=$!
    read_answers "500 slow bodies of 4 MB" 500 0 20 POST /once/1 body 4000000 300000 0 &
    four=$!
    sleep 10
    show_memory "after 10 s"
    curl -s "http://$(gw_metrics 1)/" | grep -E "pearstair_(bytes|memory|answer_|answers_cut)"
    wait $one $two $three $four
    show_memory "mix"
    grep -c '"memory.level"' "$RIG_DIR/d1.log"
    curl -s "http://$(gw_metrics 1)/" | grep -E "pearstair_(bytes|memory|answer_|answers_cut|refused|in_progress)"
    echo "after it: $(gw_send_request 1 /once/1 after)"
fi
reset_peak
read_answers "plain answer of 1 GiB" 1 0 60 POST /once/bytes-1073741824 long 0 0 0
show_memory "plain"
reset_peak
read_answers "plain answer of 1 GiB without length" 1 0 60 POST /safe/chunks-1073741824 long2 0 0 0
show_memory "chunks"
reset_peak
read_answers "stream of 1 GiB" 1 0 60 POST /stream/pad-16384 long3 0 0 327000
show_memory "stream"
rig_is_alive d1 && echo "the daemon still runs"
