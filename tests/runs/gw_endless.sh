# Backend servers send events without end: daemons close these connections, resume the
# streams elsewhere, and need little memory for them.
gw_wait_for_slack
for n in 1 3 5 7; do gw_set_switches "$(gw_runner "$n")" endless=8; done
for i in $(seq 60); do gw_send_stream $((i % 3 + 1)) "endless-$i" 12 & sleep 0.02; done | sort | uniq -c | sed 's/^ *//'
wait
for k in 1 2 3; do awk '/^VmHWM/ { print ($2 < 49152 ? "less than 48 MB" : $2 " KB") }' "/proc/${RIG_PID[d$k]}/status"; done
