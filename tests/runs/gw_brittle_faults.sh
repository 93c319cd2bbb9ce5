# As gw_brittle, while daemons are cut off from the servers, and half of them stand still at
# the same time: runs that daemons have lost still take slots, and daemons wake without
# grants.
cut_off() {
    sleep 1
    gw_cut_off "$1" 1 2 3
    sleep 4
    gw_cut_off clear 1 2 3
}
pause_half() {
    local i
    for _ in 1 2 3 4; do
        sleep 0.6
        for i in 1 2 3; do rig_kill "d$i" STOP; done
        sleep 0.9
        for i in 1 2 3; do rig_kill "d$i" CONT; done
    done
}
touch "$RIG_DIR/crashing" "$RIG_DIR/returned"
gw_return_servers 3000 2 4 6 8 10 &
gw_try_brittle "calm" 100 3
gw_try_brittle "connections reset" 240 8 cut_off reset
gw_try_brittle "connections hang" 240 8 cut_off hang
gw_try_brittle "half of the daemons stand still" 240 9 pause_half
rm "$RIG_DIR/crashing"
wait
gw_stop_returned
