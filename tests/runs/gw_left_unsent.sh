# Callers leave before their requests are handed to a connection, as no connection to the
# backend servers opens: what never ran is not charged, and isn't suspected of the servers'
# later ends.
gw_put_config 6 '"key-1"' 20 # 18 requests of 10 units in 8 s
sleep 10.5 # a lower quota binds a window after it is in force

# leave_unsent LABEL - cuts daemon 1 off, and sends it 12 requests whose callers leave soon
leave_unsent() {
    local i senders=()
    sleep 1.6 # kept connections are not used again
    gw_cut_off hang 1
    for i in $(seq 12); do
        (trap - EXIT; gw_send_request 1 /once/1 "$1-$i" -X POST -d "$1 $i" -m 0.1) > /dev/null &
        senders+=($!)
        sleep 0.05
    done
    wait "${senders[@]}"
    grep -q "^$1-" "$RIG_DIR/arrivals" && echo "some were sent"
}

leave_unsent charged
gw_cut_off clear 1
sleep 1 # until the other daemons know what was refunded
for i in $(seq 12); do gw_send_request $((i % 2 + 2)) /once/1 "later-$i" -X POST -d "body $i"; done | sort | uniq -c | sed 's/^ *//'
sleep 8
leave_unsent suspected
for i in 2 4 6; do rig_kill "r$i" KILL; done
sleep 3 # until their ends are known
echo "unsent requests suspected: $(grep -c '"content.server_ended"' "$RIG_DIR/d1.log")"
