# A content ends a server, and then all daemons are killed at once and start
# again, three times over: the crashes are counted on, and it is refused then.
for i in 1 2 3; do
    gw_send_crashing "$i" "$i"
    rig_wait_exit r2 2 && gw_restart_runner 2
    sleep 1 # until the crash is stored
    for k in 1 2 3; do rig_kill "d$k" KILL; done
    for k in 1 2 3; do gw_start_daemon "$k"; done
    for k in 1 2 3; do rig_wait_until 15 gw_serves "$k"; done
done
for i in 1 2 3; do gw_send_crashing "$i" "after-$i"; done
