# A daemon shuts down gracefully and a backend server is leaving, under load:
# no stream is cut.
# send_streams N PREFIX - sends 40 overlapping streams to daemon N
send_streams() {
    for i in $(seq 40); do
        gw_send_stream "$1" "$2-$i" 25 &
        sleep 0.05
    done
    wait
}
send_streams 3 a > "$RIG_DIR/a" &
one=$!
send_streams 2 b > "$RIG_DIR/b" &
two=$!
sleep 0.8
rig_kill d3 TERM
is_absent() { ! gw_addresses 1 | grep -q "$(gw_caller 3)"; }
rig_wait_until 1 is_absent && echo "absent from the addresses within a second"
gw_is_ready 3 > /dev/null || echo "not ready"
gw_set_switches "$(gw_runner 1)" leaving=1
sleep 1
before=$(curl -s "http://$(gw_runner 1)/counts" | jq '.runs | length')
sleep 1
after=$(curl -s "http://$(gw_runner 1)/counts" | jq '.runs | length')
echo "new work at the leaving server after a second: $((after - before))"
rig_wait_exit d3 6 && echo "daemon has exited"
wait $one $two
echo "daemon 2: $(sort "$RIG_DIR/b" | uniq -c | sed 's/^ *//')"
echo "daemon 3, cut streams: $(grep -cE 'torn|short' "$RIG_DIR/a")"
grep -q '"daemon.stop","in_progress":0' "$RIG_DIR/d3.log" && echo "nothing was in progress at its end"
