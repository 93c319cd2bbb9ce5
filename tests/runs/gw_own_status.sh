# Backend servers answer requests that they have run with a status of their own that
# promises otherwise: no caller gets such a promise, nothing unsafe runs again, and what
# has run stays charged (docs/incidents/promises-by-a-servers-own-status.md).
gw_wait_for_slack

# send_requests LABEL KIND COUNT - sends requests to all daemons at once; adds a line for
# each to the file answers: its id, its kind and its status
send_requests() {
    local i n senders=()
    for n in $(seq "$GW_DAEMONS"); do
        (for i in $(seq "$3"); do
            echo "$1-$2-$n-$i $2 $(gw_send_request "$n" "/$2/1" "$1-$2-$n-$i" -X POST -d "$1 $n $i")"
        done) >> "$RIG_DIR/answers" &
        senders+=($!)
    done
    wait "${senders[@]}"
}

# judge - judges the requests of the file answers by what reached backend servers
judge() {
    awk 'FNR == NR { runs[$1] += $5 == "ran"; next }
        {
            promised += runs[$1] > 0 && $3 ~ /^(408|421|429|503)$/
            twice += $2 == "once" && runs[$1] > 1
            n[$2]++; served[$2] += $3 == 200
        }
        END {
            printf "once %d of %d, safe %d of %d\n", served["once"], n["once"], served["safe"], n["safe"] > "/dev/stderr"
            print "promised not to have run, but ran: " promised
            print "ran twice: " twice
            print (served["safe"] >= .9 * n["safe"] ? "idempotent requests are retried" : "idempotent requests fail")
        }' "$RIG_DIR/arrivals" "$RIG_DIR/answers"
    : > "$RIG_DIR/answers"
}

# An unsafe request may be sent to a second server, if the first has not run it.
put_two_attempts() { gw_print_config "$@" | sed '/"r-once"/s/"maxAttempts":1/"maxAttempts":2/' | curl -sf -X PUT -d @- "http://$(gw_store)/pearstair/objects/config/main" > /dev/null; }
put_two_attempts 6
sleep 2.5 # until it is in force
for status in 429 408 503; do
    echo "== one of three servers fails with $status"
    gw_set_switches "$(gw_runner 2)" "errors=45&error_status=$status"
    send_requests "$status" once 30
    send_requests "$status" safe 10
    judge
done
echo "== all servers do"
for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" "errors=100&error_status=429"; done
put_two_attempts 7 '"key-1"' 20 # two requests a second, and two more
sleep 10.5 # a lower quota binds a window after it is in force
since=$(date +%s%3N)
send_requests quota once 25
# 8 s of 20 units, 20 more, a tenth of overage, 10 units a request
awk -v since="$since" -v allowed=19 '$2 >= since && $5 == "ran" { at[++n] = $2 }
    END {
        for (i = 1; i <= n; i++) { while (at[i] - at[first + 1] > 8000) first++; if (i - first > most) most = i - first }
        printf "%d have run, %d within 8 s\n", n, most > "/dev/stderr"
        print (n > 0 && most <= allowed ? "what has run stays charged" : "what has run is refunded") }' <(sort -n -k2,2 "$RIG_DIR/arrivals")
