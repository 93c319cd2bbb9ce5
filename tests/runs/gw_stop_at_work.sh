# A daemon is stopped while backend servers work on unsafe requests that outlast its grace
# period: no caller is promised that its request has not run, and each is told before the
# process ends (docs/incidents/promises-by-a-daemon-that-ends.md).
for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" "work_ms=5000"; done

# send_unsafe LABEL DAEMON COUNT - sends unsafe requests at once, in the background; adds
# a line for each to the file answers: its id, its status and the time of its answer
send_unsafe() {
    local i
    for i in $(seq "$3"); do
        (
            trap - EXIT
            answer=$(gw_send_request "$2" /once/1 "$1-$i" -X POST -d "$1 $i")
            echo "$1-$i $(date +%s%3N) $answer" >> "$RIG_DIR/answers"
        ) &
        senders+=($!)
    done
}

# judge LABEL - judges the requests of this label by what reached backend servers
judge() {
    awk -v label="$1-" 'index($1, label) != 1 { next }
        FNR == NR { runs[$1] += $5 == "ran"; next }
        {
            n++; ran += runs[$1] > 0; twice += runs[$1] > 1; untold += $3 == "000"
            promised += runs[$1] > 0 && $3 ~ /^(408|421|429|503)$/
            refused += $3 == 503
        }
        END {
            printf "%d requests, %d have run, %d refused\n", n, ran, refused > "/dev/stderr"
            print "promised not to have run, but ran: " promised + 0
            print "ran twice: " twice + 0
            print "without an answer: " untold + 0
            if (ran < 6) print "too few have run: " ran }' "$RIG_DIR/arrivals" "$RIG_DIR/answers"
}

echo "== the daemon that took the requests is stopped"
senders=()
send_unsafe stopped-early 1 8
sleep 0.2
rig_kill d1 TERM
sleep 0.4 # more requests come while new ones are still taken
send_unsafe stopped-late 1 30
wait "${senders[@]}"
rig_wait_exit d1 3 && echo "it has ended"
sleep 4 # what was refused must not run later either
judge stopped
GW_GRACE_S=2 gw_start_daemon 1
rig_wait_until 10 gw_is_ready 1

echo "== the daemons that carry the requests are stopped"
gw_cut_off reset 1
sleep 1.5 # until daemon 1 sends by way of others
senders=()
send_unsafe carried-early 1 8
sleep 0.3
rig_kill d2 TERM
rig_kill d3 TERM
wait "${senders[@]}"
rig_wait_exit d2 3 && rig_wait_exit d3 3 && echo "they have ended"
sleep 4
judge carried
