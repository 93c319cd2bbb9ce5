# A daemon is paused while its streams go on: when it runs again, the events wait
# at its sockets. No stream is taken for silent and sent to a second server.
gw_wait_for_slack
for i in $(seq 4); do gw_send_stream 1 "before-$i" 40; done | sort | uniq -c | sed 's/^ *//'
for i in $(seq 4); do gw_send_stream 1 "paused-$i" 60 > "$RIG_DIR/paused-$i" & done
sleep 0.4
rig_kill d1 STOP
sleep 1.5
rig_kill d1 CONT
wait
sort "$RIG_DIR"/paused-* | uniq -c | sed 's/^ *//'
echo "arrivals of these streams: $(grep -c '^paused-' "$RIG_DIR/arrivals")"
