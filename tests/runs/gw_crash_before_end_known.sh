# A request without a body ends every backend server that runs it, and comes again
# all the time, at all daemons. The servers are back at their old addresses under new
# names after 3 s, before their old registrations are removed. At most three servers
# are reached later than 3 s after the third has ended. Requests of the same path
# with a body are served.
touch "$RIG_DIR/crashing"
gw_return_servers 3000 2 4 6 8 10 12 &
returning=$!
sent=()
for i in $(seq 160); do
    gw_send_request $((i % 3 + 1)) /safe/CRASH-0 "crashing-$i" > /dev/null &
    sent+=($!)
    sleep 0.05
done
wait "${sent[@]}"
sleep 3 # the servers are back
rm "$RIG_DIR/crashing"
wait "$returning"
for i in 1 2 3; do gw_send_request "$i" /safe/CRASH-0 "innocent-$i" -X POST -d innocent; done
gw_stop_returned
awk '/^crashing-/ && $5 == "ran" { at[++n] = $2 }
    END {
        for (i = 4; i <= n; i++) { late += at[i] > at[3] + 3000 }
        print late <= 3 ? "at most 3 servers reached late" : late " of " n " servers reached late"
    }' "$RIG_DIR/arrivals"
