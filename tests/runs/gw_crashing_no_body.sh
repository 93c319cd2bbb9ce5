# A request without a body that ends every backend server that runs it comes
# again under new ids, at each daemon in turn: it is refused after at most three
# servers have ended.
gw_wait_for_slack
n_ended=0
for i in $(seq 6); do
    answer=$(gw_send_request $((i % 3 + 1)) /safe/CRASH-0 "crash-$i")
    sleep 0.2
    for n in 2 4 6; do
        rig_is_alive "r$n" && continue
        n_ended=$((n_ended + 1))
        gw_restart_runner "$n"
    done
    sleep 1 # until the daemons use them again
done
[ "$n_ended" -le 3 ] && n_ended="at most 3"
echo "$n_ended servers ended; last answer $answer"
