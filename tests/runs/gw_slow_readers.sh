# Callers read more slowly than servers send, or nothing: nothing is dropped from the
# middle, no broken answer looks complete, and daemons need little memory.
gw_print_config 6 | sed 's/"timeoutMs":[38]000/"timeoutMs":20000/g' |
    curl -sf -X PUT -d @- "http://$(gw_store)/pearstair/objects/config/main" > /dev/null
sleep 1
# read_answers WHAT DAEMON COUNT RATE SECONDS PATH ID [TOKENS] - as standin-readers, which
# prints the bytes last
read_answers() {
    local result
    result=$("$RIG_BUILD/standin-readers" "$3" "$4" "$5" POST "$6" "$7" 0 0 "${8:-0}" "$(gw_caller "$2")")
    echo "$1: $result" >&2
    echo "$1: ${result% bytes *}"
}
set_runners() { local n; for n in $(seq "$GW_RUNNERS"); do gw_set_switches "$(gw_runner "$n")" "$1"; done; }
count_running() { local n; for n in $(seq "$GW_RUNNERS"); do curl -s "http://$(gw_runner "$n")/counts" | jq .running; done | awk '{ n += $1 } END { print n }'; }
count_lines() { cat "$RIG_DIR"/d?.log | grep -c "$1"; }

# Streams of 8.4 MB and plain answers of 8 MB, read at 2 MB a second
read_answers "slow streams" 1 4 2000000 15 /stream/pad-6000 slow 7000
read_answers "slow answers with a length" 2 2 2000000 15 /once/bytes-8000000 length
read_answers "slow answers without a length" 3 2 2000000 15 /safe/chunks-8000000 chunks
[ "$(count_lines '"answer.pause"')" -ge 4 ] && echo "servers were paused"

# By way of another daemon
gw_cut_off reset 1
sleep 2
read_answers "slow streams, forwarded" 1 2 2000000 15 /stream/pad-6000 fslow 7000
read_answers "slow answers with a length, forwarded" 1 2 2000000 15 /once/bytes-8000000 flength
grep -q '"forward.end","id":"fslow-1"' "$RIG_DIR"/d[23].log && echo "carried by another daemon"
gw_cut_off clear 1
sleep 2

# Servers cut answers that stay unread for a second. Callers that read steadily, if
# slowly, get all. From callers that stall, streams go on at another server, plain answers
# break off, and no server or content is suspected.
set_runners unread_s=1
read_answers "slow streams of strict servers" 2 2 1000000 20 /stream/pad-6000 steady 7000
export READERS_STALL_S=4
read_answers "streams that servers cut" 2 2 0 20 /stream/pad-6000 scut 4000
read_answers "plain answers that servers cut" 3 1 0 20 /once/bytes-5000000 pcut
unset READERS_STALL_S
set_runners unread_s=0
[ "$(count_lines '"request.repeat","id":"scut')" -ge 1 ] && echo "streams were taken up at another server"
[ "$(curl -s "http://$(gw_metrics 3)/" | awk '/answers_cut_total.*unread/ { print $NF }')" = 1 ] && echo "the cut is counted as unread"
echo "lost connections counted: $(count_lines '"content.lost_connection","id":"[sp]cut')"

# Callers leave while their servers are paused, also by way of another daemon
gw_cut_off reset 1
sleep 2
export READERS_LEAVE_S=2
read_answers "callers that leave" 2 4 100000 20 /stream/pad-6000 gone 7000
read_answers "callers that leave, forwarded" 1 2 100000 20 /once/bytes-8000000 fgone
unset READERS_LEAVE_S
sleep 0.5
echo "callers seen to leave: $(count_lines '"request.end","id":"f*gone-.*"left"')"
echo "running at servers half a second later: $(count_running)"

gw_cut_off clear 1
sleep 2

# Answers without end
read_answers "plain answer without end" 2 1 0 25 /once/endless endless
read_answers "failure without end" 3 1 0 20 /safe/fails/endless fails
read_answers "answer without end that nobody reads" 2 1 -1 4 /once/endless unread
read_answers "stream whose event has no end" 3 1 0 20 /stream/endless event 50
for k in 1 2 3; do awk '/^VmHWM/ { print ($2 < 40960 ? "less than 40 MB" : $2 " KB") }' "/proc/${RIG_PID[d$k]}/status"; done

# A daemon with 32 MB refuses bodies that it can't hold, and others not
rig_kill d2 KILL
rig_wait_exit d2 5
GW_MEMORY_MB=32 gw_start_daemon 2
rig_wait_until 15 gw_serves 2
"$RIG_BUILD/standin-readers" 20 0 15 POST /once/1 body 900000 300000 0 "$(gw_caller 2)" > "$RIG_DIR/bodies" &
bodies=$!
sleep 1
echo "a request without a body meanwhile: $(gw_send_request 2 /once/1 small)"
wait $bodies
cat "$RIG_DIR/bodies" >&2
awk '{ print "slow bodies: " ($2 >= 1 && $2 + $6 == 20 ? "some served, the others refused" : $0) }' "$RIG_DIR/bodies"
