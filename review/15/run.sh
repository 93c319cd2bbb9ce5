#!/usr/bin/env bash
# All daemons are killed and start again. Then three of twelve servers crash while
# sound requests run there, and one request with a part that crashes servers
# comes; such requests go on coming, one a second.
# Broken (1): sound requests, which share their first part, begin less than half
# as often later than 2 x contactMs after the last crash as before.
# TROUBLE=0: no daemon is killed, and no server but by the part.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE_DIR/record.txt # what was sent, answered and run
: > "$RECORD" || exit 2
source "$CASE_DIR/../lib-3.sh"
N=24
CONTACT_MS=3000

# start_engine N ID - the project's stand-in; an event each 40 ms
start_engine() {
    r3_start "s$1" build/standin-runner "$(r3_server "$1")" "$(r3_store)" "$2" m 19 "$(r3_server "$1")" "$R3_DIR/ran" 1200 v1
    r3_wait 5 curl -sf -X POST "http://$(r3_server "$1")/switch?event_ms=40"
}
# Starts servers that have ended again, 2 s later, under new ids.
return_servers() {
    local n starts=0
    while [ -e "$R3_DIR/returning" ]; do
        for n in $(seq 12); do
            r3_is_alive "s$n" && continue
            [ -n "${back_at[$n]:-}" ] || back_at[n]=$(($(date +%s%3N) + 2000))
            [ "$(date +%s%3N)" -ge "${back_at[$n]}" ] || continue
            back_at[n]=
            starts=$((starts + 1))
            start_engine "$n" "s$n-$starts"
        done
        sleep 0.05
    done
}
declare -a back_at

# send_prompt N ID EVENTS [PART] - a stream from daemon N; all have the first part c0de, and
# PART after it
send_prompt() {
    local code
    code=$(curl -sN -m 10 -o "$R3_DIR/text-$2" -w '%{http_code}' -X POST -d "body of $2" -H 'Host: a.example' -H "Request-Id: $2" \
        -H 'Authorization: Bearer key-1' -H 'Deadline-Ms: 8000' -H "Token-Counts: 200,$(($3 * 5))" \
        -H "Prompt-Prefix: c0de:60,${4:+$4:40,}$(printf %s "$2" | od -An -tx1 | tr -d ' \n'):100" \
        "http://$(r3_caller "$1")/stream-query/1")
    r3_note "front-$1 $2 $code, $(count_events "$2") events" > /dev/null
}
count_events() { grep -c '^data: ' "$R3_DIR/text-$1" 2> /dev/null; }
# send_sound PREFIX - sends N sound requests, one after another; prints how many begin
send_sound() {
    local i n=0
    for i in $(seq $N); do
        send_prompt $((i % 3 + 1)) "$1-$i" 3
        [ "$(count_events "$1-$i")" = 0 ] || n=$((n + 1))
        sleep 0.1
    done
    echo "$n"
}

r3_start_store
for n in $(seq 12); do start_engine "$n" "s$n"; done
r3_start_server 13 s 6
r3_start_daemons
touch "$R3_DIR/returning"
before=$(send_sound before)
r3_note "three daemons and twelve servers serve; trouble is $TROUBLE; $before of $N sound requests began before"
[ "$before" -ge 20 ] || r3_fail "too few sound requests began before"

if [ "$TROUBLE" != 0 ]; then
    r3_note "all daemons are killed, and start again after 0.5 s"
    for n in 1 2 3; do r3_kill "d$n" KILL; done
    sleep 0.5
    for n in 1 2 3; do r3_start_daemon "$n"; done
fi
for n in 1 2 3; do r3_wait 15 r3_is_ready "$n"; done
sleep 1
for i in 1 2 3 4 5 6 7 8 9; do send_prompt $((i % 3 + 1)) "running-$i" 60 & done
sleep 0.3
if [ "$TROUBLE" != 0 ]; then
    victims=$(awk '$1 ~ /^running-/ && $5 == "ran" { print $3 }' "$R3_DIR/ran" | sort -u)
    r3_note "servers that run sound requests crash: $(tr '\n' ' ' <<< "$victims")"
    for name in $victims; do r3_kill "$name" KILL; done
fi
sleep 0.25
send_prompt 1 crashing-0 3 dead01 &
return_servers & RETURNER=$!
(for i in $(seq 24); do
    [ -e "$R3_DIR/returning" ] || break
    sleep 1
    send_prompt $((i % 3 + 1)) "crashing-$i" 3 dead01
done) &
CRASHING=$!
sleep 6
while :; do
    last=$(awk '$1 ~ /^crashing-/ && $5 == "ran" { print $2 }' "$R3_DIR/ran" | sort -n | tail -1)
    [ -n "$last" ] || r3_fail "no request with the part has run"
    [ "$(date +%s%3N)" -lt $((last + 2 * CONTACT_MS + 500)) ] || break
    sleep 0.2
done
after=$(send_sound after)
rm "$R3_DIR/returning"
wait $RETURNER $CRASHING

cat "$R3_DIR/ran" >> "$RECORD"
last=$(awk '$1 ~ /^crashing-/ && $5 == "ran" { print $2 }' "$R3_DIR/ran" | sort -n | tail -1)
r3_note "servers that the part has crashed: $(awk '$1 ~ /^crashing-/ && $5 == "ran"' "$R3_DIR/ran" | wc -l), the last at $last"
r3_note "sound requests that began: $before of $N before, $after of $N later than 6 s after the last crash"
[ $((2 * after)) -lt "$before" ] && exit 1
exit 0
