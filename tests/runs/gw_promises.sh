# Answers of backend servers, time limits, callers that leave, second attempts, cut
# connections and stops of daemons in random order: whoever is promised that a request has
# not run, it has not, and nothing unsafe runs twice. Judged by the callers' and the
# servers' side alone.
gw_wait_for_slack
gw_print_config 6 | sed '/"r-once"/s/"maxAttempts":1/"maxAttempts":2/' |
    curl -sf -X PUT -d @- "http://$(gw_store)/pearstair/objects/config/main" > /dev/null
sleep 2.5 # until it is in force

# pick WORD... - sets $picked to one of these at random. It prints nothing to be read with
# $(pick): a subshell would not advance the seed's random numbers.
pick() {
    shift $((RANDOM % $#))
    picked=$1
}

# send_until END LABEL - sends requests to daemons at random until this time (ms)
send_until() {
    local i=0 n kind limit leave
    while [ "$(date +%s%3N)" -lt "$1" ]; do
        i=$((i + 1))
        pick 1 2 3 && n=$picked
        pick once once once safe && kind=$picked
        pick 100 400 1000 3000 && limit=$picked
        pick 0.15 0.6 5 5 5 && leave=$picked
        echo "$2-$i $kind $(GW_LIMIT=$limit gw_send_request "$n" "/$kind/1" "$2-$i" -X POST -d "$2 $i" -m "$leave")"
    done
}

inject_fault() {
    local i
    pick 2 4 6 && i=$picked
    pick status status status cut work work work reject foreign link link term term term
    echo "$(date +%s%3N) $picked" >> "$RIG_DIR/events"
    case $picked in
    status) pick 408 429 503 500 && gw_set_switches "$(gw_runner "$i")" "errors=45&error_status=$picked" ;;
    cut) gw_set_switches "$(gw_runner "$i")" "cut=30" ;;
    work) pick 15 300 2500 && gw_set_switches "$(gw_runner "$i")" "work_ms=$picked" ;;
    reject) gw_set_switches "$(gw_runner "$i")" "reject=1" ;;
    foreign) gw_set_switches "$(gw_runner "$i")" "foreign=20" ;;
    link) pick reset hang new open close request answer clear && gw_cut_off "$picked" 1 ;;
    term)
        pick 1 2 3 && i=$picked
        if rig_is_alive "d$i"; then rig_kill "d$i" TERM; else gw_start_daemon "$i"; fi
        ;;
    esac
}

# clear_faults - ends all faults; daemons that have ended or are stopping start again
clear_faults() {
    local i
    gw_cut_off clear 1
    for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" "errors=0&cut=0&work_ms=15&reject=0&foreign=0"; done
    for i in 1 2 3; do
        rig_is_alive "d$i" && gw_is_ready "$i" > /dev/null && continue
        rig_kill "d$i" TERM
        rig_wait_exit "d$i" 3
        gw_start_daemon "$i"
    done
    for i in 1 2 3; do rig_wait_until 10 gw_is_ready "$i"; done
}

for seed in ${PROMISES_SEEDS:-1 2 3}; do
    senders=()
    end=$(($(date +%s%3N) + 9000))
    for k in $(seq 16); do
        (trap - EXIT; RANDOM=$((seed * 100 + k)); send_until "$end" "p-$seed-$k") >> "$RIG_DIR/answers" &
        senders+=($!)
    done
    RANDOM=$seed
    while [ "$(date +%s%3N)" -lt "$end" ]; do
        sleep 0.4
        inject_fault
    done
    wait "${senders[@]}"
    clear_faults
    sleep 1
    awk -v label="p-$seed-" 'index($1, label) != 1 { next }
        FNR == NR { runs[$1] += $5 == "ran"; next }
        {
            n++; status[$3]++
            promised += runs[$1] > 0 && $3 ~ /^(408|421|429|503)$/
            twice += $2 == "once" && runs[$1] > 1
        }
        END {
            printf "%d requests:", n > "/dev/stderr"
            for (s in status) printf " %s %d", s, status[s] > "/dev/stderr"
            print "" > "/dev/stderr"
            print "promised not to have run, but ran: " promised + 0 ", ran twice: " twice + 0
            if (status[200] < 50) print "too few were served: " status[200] }' "$RIG_DIR/arrivals" "$RIG_DIR/answers"
done
