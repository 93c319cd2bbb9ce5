# As gw_crashing_part, while the allocator is killed, another daemon is paused, and all
# daemons are killed: none forgets the part. Requests that a paused daemon had
# taken before its pause are not counted.
touch "$RIG_DIR/crashing"
gw_return_servers 2000 1 3 5 7 9 11 &
returning=$!

# send_crashing SECONDS PREFIX DAEMON... - sends streams with the part
send_crashing() {
    local i=0 end=$((SECONDS + $1)) prefix=$2 sent=()
    shift 2
    while [ "$SECONDS" -lt "$end" ]; do
        i=$((i + 1))
        for k in "$@"; do
            gw_send_stream "$k" "$prefix-$k-$i" 12 -H "Prompt-Prefix: 5a11:60,dead02:30,$((i + 4096)):40" > /dev/null &
            sent+=($!)
        done
        sleep 0.4
    done
    wait "${sent[@]}"
}

# print_late PREFIX - prints how many of these requests reached servers
print_late() {
    awk -v prefix="^$1-" '$1 ~ prefix && $5 == "ran" { n++ }
        END { print substr(prefix, 2) (n <= 1 ? " at most one request" : " " n " requests") }' "$RIG_DIR/arrivals"
}

send_crashing 5 crashing 1 2 3 4
allocator=$(grep -h '"sharing.allocator"' "$RIG_DIR/d1.log" | tail -1 | jq -r .name)
paused=$([ "$allocator" = d3 ] && echo 2 || echo 3)
rig_kill "d$paused" STOP
rig_kill "$allocator" KILL
gw_start_daemon "${allocator#d}"
sleep 1
send_crashing 3 allocator $(for k in 1 2 3 4; do [ "$k" = "$paused" ] || echo "$k"; done)
rig_kill "d$paused" CONT
sleep 1
send_crashing 2 paused "$paused"
for k in 1 2 3 4; do rig_kill "d$k" KILL; done
sleep 0.3
for k in 1 2 3 4; do gw_start_daemon "$k"; done
for k in 1 2 3 4; do rig_wait_until 10 gw_is_ready "$k"; done
send_crashing 3 restarted 1 2 3 4
for i in $(seq 12); do gw_send_stream $((i % 4 + 1)) "sound-$i" 12 -H "Prompt-Prefix: 5a11:60,$((i + 9000)):40"; done | sort | uniq -c | sed 's/^ *//'
rm "$RIG_DIR/crashing"
wait "$returning"
gw_stop_returned
for prefix in allocator paused restarted; do print_late "$prefix"; done
