#!/usr/bin/env bash
# All daemons are killed and start again; then one of four servers crashes while sound
# requests run there, and requests with a part that crashes servers come. Exits with 1 if
# sound requests, which share their first part, begin less than half as often later than
# 6 s after the last crash as before. TROUBLE=0: no daemon is killed, and no server by us.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
: > "$RECORD"
HEARTBEAT_MS=1200
source "$CASE/../lib-2.sh"

N=24            # sound requests before and after
CONTACT_MS=3000 # contactMs of the site

start_store
put_manifest 5 "$KEYS"
for i in 1 2 3 4; do start_server "$i" m; done
set_pace() { set_switches "$(server_address "$1")" event_ms=40; }
for i in 1 2 3 4; do set_pace "$i"; done
for i in 1 2 3; do start_daemon "$i" true; done
wait_ready 1 2 3

# send_prompt N ID EVENTS [PART] - requests a stream from daemon N; all have the first part
# c0de, and PART after it. Its events go to the file ID
send_prompt() {
    note "stream $2 sent to daemon $1 ${4:-}"
    curl -sN -m 10 -o "$WORK/$2" -w '%{http_code}' -X POST -d "body of $2" -H "Host: a.example" -H "Request-Id: $2" \
        -H "Authorization: Bearer key-1" -H "Deadline-Ms: 10000" -H "Model: m" -H "Token-Counts: 200,$(($3 * 5))" \
        -H "Prompt-Prefix: c0de:60,${4:+$4:40,}$(printf %s "$2" | od -An -tx1 | tr -d ' \n'):100" \
        "http://$(caller_address "$1")/stream/1" > "$WORK/status-$2"
    note "stream $2 ended: status $(cat "$WORK/status-$2"), $(count_events "$2") events"
}
count_events() { grep -c '^data: ' "$WORK/$1" 2> /dev/null; }
begins() { send_prompt 1 "probe-$RANDOM" 2; [ "$(grep -l '^data: ' "$WORK"/probe-* 2> /dev/null | wc -l)" -ge 1 ]; }
wait_for 10 begins || cannot_run "no stream begins"
sleep 2

# send_sound PREFIX - sends N sound requests, one after another; prints how many begin
send_sound() {
    local i n=0
    for i in $(seq "$N"); do
        send_prompt $((i % 3 + 1)) "$1-$i" 3
        [ "$(count_events "$1-$i")" = 0 ] || n=$((n + 1))
        sleep 0.1
    done
    echo "$n"
}

# send_crashing PREFIX SECONDS - sends requests with the crashing part, one a second
send_crashing() {
    local i
    for i in $(seq "$2"); do
        send_prompt $((i % 3 + 1)) "$1-$i" 3 dead01 &
        sleep 1
    done
    wait
}

# return_servers SECONDS - for so long starts servers again that ended more than 2 s ago
declare -A ended=()
return_servers() {
    local n end=$(($(now) + $1 * 1000))
    while [ "$(now)" -lt "$end" ]; do
        for n in 1 2 3 4; do
            is_alive "r$n" && continue
            : "${ended[$n]:=$(now)}"
            [ "$(now)" -gt $((ended[$n] + 2000)) ] || continue
            unset "ended[$n]"
            start_server "$n" m
            set_pace "$n"
        done
        sleep 0.05
    done
}

before=$(send_sound before)
note "$before of $N sound requests began before"
[ "$before" -ge 20 ] || cannot_run "only $before of $N sound requests began before"

if [ "$TROUBLE" != 0 ]; then
    for i in 1 2 3; do stop "d$i" KILL; done
    sleep 0.3
    for i in 1 2 3; do start_daemon "$i" false; done
fi
wait_ready 1 2 3
for i in $(seq 8); do send_prompt $((i % 3 + 1)) "running-$i" 60 & done
sleep 0.2
if [ "$TROUBLE" != 0 ]; then
    # One that runs sound requests crashes.
    victim=$(awk '$1 ~ /^running-/ && $5 == "ran" { n[$3]++ } END { for (r in n) print n[r], r }' "$WORK/arrivals" | sort -n | awk '{ name = $2 } END { print name }')
    [ -n "$victim" ] || cannot_run "no sound request runs"
    stop "$victim" KILL
fi
sleep 0.25
for i in 1 2 3 4 5 6; do send_prompt $((i % 3 + 1)) "crashing-$i" 3 dead01 & done
return_servers 5
send_crashing later 30 &
return_servers 20
last=$(awk '$1 ~ /^(crashing|later)-/ && $5 == "ran" { print $2 }' "$WORK/arrivals" | sort -n | tail -1)
[ -n "$last" ] || cannot_run "no request with the crashing part has run"
while [ "$(now)" -lt $((last + 2 * CONTACT_MS + 500)) ]; do return_servers 1; done
for i in 1 2 3 4; do is_alive "r$i" || cannot_run "server $i is not back"; done
after=$(send_sound after)
record_arrivals
note "$after of $N sound requests began after, the last crash was at $last"
finish $((2 * after < before)) "LOST: $after of $N sound requests began later than 6 s after the last crash, $before of $N before" \
    "held: $after of $N sound requests began later than 6 s after the last crash, $before of $N before"
