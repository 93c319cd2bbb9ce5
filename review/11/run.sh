#!/usr/bin/env bash
# A server in trouble sends lines without end where the trailer fields of a
# chunked answer are due. Three daemons before four servers; the platform's
# part is to end a process that exceeds memoryMb, and to start it again.
# Broken (1): on two machines or more, processes end by themselves three times.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE_DIR/record.txt # what was sent, answered and run
: > "$RECORD" || exit 2
source "$CASE_DIR/../lib-3.sh"

r3_start_store
for n in 1 2 3 4; do r3_start_server "$n" m 19; done
r3_start_server 5 s 6
r3_start_daemons
r3_note "three daemons serve; memoryMb is $R3_MEMORY_MB, trouble is $TROUBLE"

# The platform: ends processes whose memory is over the limit, and starts those that
# have ended again after a short delay.
watch_memory() {
    local n rss
    while [ -e "$R3_DIR/watching" ]; do
        for n in 1 2 3; do
            rss=$(awk '/^VmRSS/ { print $2 }' "/proc/${R3_PID[d$n]}/status" 2> /dev/null)
            if [ "${rss:-0}" -gt $((R3_MEMORY_MB * 1024)) ]; then
                r3_note "front-$n exceeds memoryMb: $rss KiB; the platform ends it"
                kill -KILL "${R3_PID[d$n]}"
                rss=
            fi
            if [ -z "$rss" ]; then
                echo "front-$n" >> "$R3_DIR/ends"
                sleep 0.5
                r3_start_daemon "$n"
            fi
        done
        sleep 0.05
    done
}
: > "$R3_DIR/ends"
touch "$R3_DIR/watching"
watch_memory &
WATCHER=$!

# send_load N SECONDS - short streams at daemon N, one each 60 ms and more, and an order
# with each second one, which may run once
send_load() {
    local i id end=$(($(date +%s) + $2))
    for i in $(seq 10000); do
        [ "$(date +%s)" -lt "$end" ] || break
        id="q$1-$(date +%s%3N)"
        (echo "$(date +%s.%3N) front-$1 stream $id $(r3_send "$1" /stream-query/1 "$id" 12000 -H 'Token-Counts: 628,50')" >> "$R3_DIR/answers") &
        [ $((i % 2)) = 1 ] || (echo "$(date +%s.%3N) front-$1 order a$id $(r3_send "$1" /ack/1 "a$id" 4000)" >> "$R3_DIR/answers") &
        sleep 0.06
    done
    wait
}

# Seven times: two of four servers are in trouble for 5.5 s, when each 20th of their answers
# has no end.
for round in 1 2 3 4 5 6 7; do
    for n in 1 2 3; do send_load "$n" 7 & LOAD[n]=$!; done
    sleep 0.5
    [ "$TROUBLE" = 0 ] || { r3_note "round $round: servers s1 and s2 are in trouble for 5.5 s"; r3_kill s1 USR2; r3_kill s2 USR2; }
    sleep 5.5
    [ "$TROUBLE" = 0 ] || { r3_kill s1 USR2; r3_kill s2 USR2; }
    wait "${LOAD[@]}"
    sleep 2
done
rm "$R3_DIR/watching"
wait $WATCHER

sort "$R3_DIR/answers" >> "$RECORD"
cat "$R3_DIR/ran" >> "$RECORD"
r3_note "answers by kind: $(awk '{ print $3, $5, $6 }' "$R3_DIR/answers" | sort | uniq -c | tr -s ' \n' ' ;')"
lost=$(awk 'NR == FNR { if ($3 == "ran") ran[$4] = 1; next } $3 == "order" && $5 == "000" && ($4 in ran)' "$R3_DIR/ran" "$R3_DIR/answers" | wc -l)
r3_note "orders (unsafe) that have run, and whose channel was closed without an answer: $lost"
r3_note "answers without end: $(grep -c ' endless ' "$R3_DIR/ran")"
r3_note "ends by machine: $(sort "$R3_DIR/ends" | uniq -c | tr -s ' \n' ' ;')"
machines=$(sort "$R3_DIR/ends" | uniq -c | awk '$1 >= 3' | wc -l)
r3_note "machines whose processes ended by themselves three times: $machines"
served=$(grep -c ' 200$' "$R3_DIR/answers")
[ "$served" -ge 100 ] || r3_fail "only $served requests were served"
[ "$machines" -ge 2 ] && exit 1
exit 0
