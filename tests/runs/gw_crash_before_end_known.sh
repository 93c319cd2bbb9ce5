# A request without a body ends every backend server that runs it, and comes again
# all the time, at all daemons. The servers are back at their old addresses under new
# names after 3 s, before their old registrations are removed. At most three servers
# are reached later than 3 s after the third has ended. Requests of the same path
# with a body are served.
gw_set_switches "$(gw_store)" registration_ttl_ms=6000

# return_servers - starts servers that have ended again, 3 s later, under new names
return_servers() {
    local n start=0 now
    declare -A back_at
    while [ -e "$RIG_DIR/crashing" ]; do
        now=$(date +%s%3N)
        for n in 2 4 6 8 10 12; do
            kill -0 "${RIG_PID[r$n]}" 2>/dev/null && continue
            : "${back_at[$n]:=$((now + 3000))}"
            [ "$now" -ge "${back_at[$n]}" ] || continue
            unset "back_at[$n]"
            start=$((start + 1))
            gw_start_runner "$n" "r$n-$start"
            echo "${RIG_PID[r$n]}" >> "$RIG_DIR/returned"
        done
        sleep 0.02
    done
}

touch "$RIG_DIR/crashing"
return_servers &
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
while read -r pid; do kill "$pid" 2> /dev/null; done < "$RIG_DIR/returned"
awk '/^crashing-/ && $5 == "ran" { at[++n] = $2 }
    END {
        for (i = 4; i <= n; i++) { late += at[i] > at[3] + 3000 }
        print late <= 3 ? "at most 3 servers reached late" : late " of " n " servers reached late"
    }' "$RIG_DIR/arrivals"
