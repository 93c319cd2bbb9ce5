# A content that has ended three servers stays refused when all daemons are
# killed at once and start again.
send_crashing() { gw_send_request "$1" /once/1 "crashing-$2" -X POST -d "CRASH 0 x"; }
for i in 1 2 3; do
    send_crashing "$i" "$i"
    rig_wait_exit r2 2 && gw_restart_runner 2
    sleep 1 # until the daemons use it again
done
send_crashing 1 4
for i in 1 2 3; do rig_kill "d$i" KILL; done
for i in 1 2 3; do gw_start_daemon "$i"; done
for i in 1 2 3; do rig_wait_until 15 gw_serves "$i"; done
for i in 1 2 3; do send_crashing "$i" "after-$i"; done
