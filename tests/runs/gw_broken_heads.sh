# Backend servers answer with heads that are not HTTP/1.1. Their callers never get such an
# answer, nor a body of it, directly or by way of another daemon; a request that may run
# again is served by a sound server, and none that may not runs twice.
serves() { [ "$(gw_send_request "$1" /safe/1 "probe-$RANDOM-$RANDOM")" = "200 ok" ] && [ "$(gw_send_stream "$1" "probe-$RANDOM-$RANDOM" 1)" = "200 whole" ]; }
set_raw() { for n in "${@:2}"; do gw_set_switches "$(gw_runner "$n")" "raw=$(jq -rn --arg raw "$1" '$raw|@uri')"; done; }
# try_head LABEL FIELDS [STATUS-LINE] - has all servers answer 3 unsafe requests and 3 streams
# with this head; prints whether any reached one, and how many got a success
try_head() {
    local i ran head=${3:-HTTP/1.1 200 OK}$'\r\n'"Request-Id: ID"$'\r\nResponse-Stamp: x\r\n'$2$'\r\n\r\n'
    set_raw "$head"'ok ID' 2 4 6
    set_raw "$head"$'id: 1\ndata: ID 1 v1\n\n' 1 3 5
    for i in 1 2 3; do
        gw_send_request "$i" /once/1 "$1-$i" -X POST -d "body $1 $i"
        gw_send_stream "$i" "$1-stream-$i" 1
    done > "$RIG_DIR/answers"
    ran=$(awk -v id="$1-" 'index($1, id) == 1 && $5 == "ran" { seen[$1] = 1 } END { print length(seen) }' "$RIG_DIR/arrivals")
    echo "$1: $([ "$ran" -ge 1 ] && echo reached), $(grep -c '^2' "$RIG_DIR/answers") got a success"
    set_raw "" 1 2 3 4 5 6
    for i in 1 2 3; do rig_wait_until 10 serves "$i"; done
}
try_head spoilt-length "Content-Length: 9x"
try_head two-lengths $'Content-Length: 2\r\nContent-Length: 9'
try_head spoilt-encoding "Transfer-Encoding: chunkd"
try_head no-colon $'Content-Length 9'
try_head continued-line $'X: y\r\n Content-Length: 9'
try_head blank-in-name $'Content-Length: 9\r\nX y: z'
try_head blank-after-name "Content-Length : 9"
try_head control-byte-in-name $'Content-Length: 9\r\nX\x01y: z'
try_head status-000 "Content-Length: 9" "HTTP/1.1 000 OK"
try_head status-101 "Upgrade: x" "HTTP/1.1 101 Switching Protocols"
echo "== by way of another daemon"
gw_cut_off reset 1 2 3
sleep 1.5 # until they send by way of others
try_head cut-spoilt-length "Content-Length: 9x"
try_head cut-continued-line $'X: y\r\n Content-Length: 9'
try_head cut-blank-in-name $'Content-Length: 9\r\nX y: z'
gw_cut_off clear 1 2 3
sleep 2
echo "== one server of three"
set_raw $'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: x\r\nContent-Length: 4x\r\n\r\nok ID' 2
for i in $(seq 30); do gw_send_request $((i % 3 + 1)) /safe/1 "safe-$i"; done | sort | uniq -c | sed 's/^ *//'
awk '$5 == "ran" && $1 !~ /^(safe|probe|.*stream)/ && runs[$1]++ { n++ } END { print n + 0, "ran twice" }' "$RIG_DIR/arrivals"
