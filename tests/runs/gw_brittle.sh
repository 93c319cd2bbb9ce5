# Five servers of a service that can run 200 requests a second say that they are brittle:
# each lets two requests wait and falls over for 3 s when it turns more than three away
# within a second. Over the time of a load at most 2.5 falls are allowed, and callers get
# what the servers can run: .8 of it at the least.
# try_load LABEL RATE SECONDS [COMMAND...] - while the load lasts, runs the command
try_load() {
    local label=$1 rate=$2 s=$3 since falls result
    shift 3
    since=$(date +%s%3N)
    "$RIG_BUILD/standin-callers" "$rate" "$s" /once/1 "b-$since" $(for i in 1 2 3 4 5 6; do gw_caller "$i"; done) > "$RIG_DIR/result" &
    local callers=$!
    [ $# = 0 ] || "$@"
    wait $callers
    result=$(cat "$RIG_DIR/result")
    falls=$(awk -v since="$since" '$5 == "fell" && $2 >= since { n++ } END { print n + 0 }' "$RIG_DIR/arrivals")
    echo "$label: $result, $falls falls, $(awk -v since="$since" '$5 == "rejected" && $2 >= since { n++ } END { print n + 0 }' "$RIG_DIR/arrivals") turned away" >&2
    awk -v label="$label" -v rate="$rate" -v s="$s" -v falls="$falls" '{
        able = rate < 200 ? rate : 200
        print label ": " ($4 >= .8 * able * s ? "served" : "not served") ", " (falls <= 2.5 ? "few falls" : falls " falls") }' <<< "$result"
    sleep 4
}
pause_in_turn() {
    local i
    for i in 1 2 3 4 5 6; do
        rig_kill "d$i" STOP
        sleep 0.7
        rig_kill "d$i" CONT
        sleep 0.8
    done
}
kill_in_turn() {
    local i
    for i in 1 2 3 4 5 6; do
        rig_kill "d$i" KILL
        sleep 0.3
        gw_start_daemon "$i"
        sleep 1.2
    done
}

touch "$RIG_DIR/crashing" "$RIG_DIR/returned"
gw_return_servers 3000 2 4 6 8 10 &
try_load "160/s" 160 6
try_load "160/s, daemons stand still in turn" 160 10 pause_in_turn
try_load "240/s" 240 8
try_load "240/s, daemons stand still in turn" 240 10 pause_in_turn
try_load "600/s" 600 6
try_load "240/s, daemons are killed in turn" 240 10 kill_in_turn
rm "$RIG_DIR/crashing"
wait
gw_stop_returned
