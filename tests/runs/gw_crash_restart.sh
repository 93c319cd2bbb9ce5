# A content that has ended three servers stays refused when all daemons are
# killed at once and start again.
gw_crash_three_times
gw_send_crashing 1 4
for i in 1 2 3; do rig_kill "d$i" KILL; done
for i in 1 2 3; do gw_start_daemon "$i"; done
for i in 1 2 3; do rig_wait_until 15 gw_serves "$i"; done
for i in 1 2 3; do gw_send_crashing "$i" "after-$i"; done
