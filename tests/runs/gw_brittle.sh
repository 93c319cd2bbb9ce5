# Five servers of a service that can run 200 requests a second say that they are brittle:
# each lets two requests wait and falls over for 3 s when it turns more than three away
# within a second. Over the time of a load at most 2.5 falls are allowed, and callers get
# what the servers can run: .8 of it at the least.
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
crash_servers() {
    sleep 1
    rig_kill r2 KILL
    rig_kill r4 KILL
}

touch "$RIG_DIR/crashing" "$RIG_DIR/returned"
gw_return_servers 3000 2 4 6 8 10 &
gw_try_brittle "160/s" 160 6
gw_try_brittle "160/s, daemons stand still in turn" 160 10 pause_in_turn
gw_try_brittle "240/s" 240 8
gw_try_brittle "240/s, daemons stand still in turn" 240 10 pause_in_turn
gw_try_brittle "600/s" 600 6
# Two of five servers are away for 3 s: 240 requests less.
GW_LOST=240 gw_try_brittle "240/s, two servers crash" 240 10 crash_servers
gw_try_brittle "240/s, daemons are killed in turn" 240 10 kill_in_turn
rm "$RIG_DIR/crashing"
wait
gw_stop_returned
