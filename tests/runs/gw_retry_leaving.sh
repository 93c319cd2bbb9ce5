# Two of three daemons shut down one after the other, while the servers of a
# service fail: the last daemon doesn't use their shares of the retry budget too.
gw_wait_for_slack
for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" errors=100; done
is_absent() { ! gw_addresses 3 | grep -q "$(gw_caller "$1")"; }
for i in 1 2 3; do gw_send_safe_requests "$i" 30 r1 & done
wait
rig_kill d1 TERM
rig_wait_until 2 is_absent 1 && echo "one daemon has left"
for i in 2 3; do gw_send_safe_requests "$i" 30 r2 & done
wait
rig_kill d2 TERM
rig_wait_until 2 is_absent 2 && echo "another daemon has left"
gw_send_safe_requests 3 30 r3
gw_check_retries && echo "retries stay within the budget"
