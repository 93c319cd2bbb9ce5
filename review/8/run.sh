#!/usr/bin/env bash
# Servers of two versions of the software serve side by side, two of each. All daemons are
# killed at the same moment and start again. From 3.5 s after that on requesters take up the
# streams that broke off. Exits with 1 if the share of these that goes on is under half of
# the share of new streams that begin. TROUBLE=0: the requesters' own channels break instead.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
: > "$RECORD"
HEARTBEAT_MS=1200
source "$CASE/../lib-2.sh"

N=16            # streams
EVENTS=160      # of each; an event each 50 ms
CONTACT_MS=3000 # contactMs of the site

start_store
put_manifest 5 "$KEYS"
for i in 1 2; do start_server "$i" m v1; done
for i in 3 4; do start_server "$i" m v2; done
for i in 1 2 3 4; do set_switches "$(server_address "$i")" event_ms=50; done
for i in 1 2 3; do start_daemon "$i" true; done
wait_ready 1 2 3

# send_stream N ID KEY [CURL-ARGS...] - requests a stream from daemon N; its events go to the
# file ID
send_stream() {
    local daemon=$1 id=$2
    shift 2
    note "stream $id sent to daemon $daemon $*"
    curl -sN -m 15 -o "$WORK/$id" -w '%{http_code}' -X POST -d "body of ${id%-*}" -H "Host: a.example" -H "Request-Id: $id" \
        -H "Authorization: Bearer key-1" -H "Deadline-Ms: ${LIMIT_MS:-15000}" -H "Model: m" -H "Token-Counts: 100,$((EVENTS * 5))" "$@" \
        "http://$(caller_address "$daemon")/stream/1" > "$WORK/status-$id"
}
count_events() { grep -c '^data: ' "$WORK/$1" 2> /dev/null; }
get_last_event() { grep '^id: ' "$WORK/$1" | tail -1 | tr -dc 0-9; }

# Requests are in flight until their channels break.
declare -A CLIENTS=()
begins() { [ "$(count_events probe-0)" -ge 1 ]; }
for k in $(seq 20); do
    send_stream 1 probe-0 -m 0.5
    begins && break
    sleep 0.2
done
begins || cannot_run "no stream begins"
sleep 2
# With TROUBLE=0 requesters close their channels after 3 s.
lasts=15
[ "$TROUBLE" != 0 ] || lasts=3
for i in $(seq "$N"); do
    send_stream $((i % 3 + 1)) "s$i-1" -m "$lasts" &
    CLIENTS[$i]=$!
done
sleep 2
for i in $(seq "$N"); do
    [ "$(count_events "s$i-1")" -ge 1 ] || cannot_run "stream s$i has not begun"
done

if [ "$TROUBLE" != 0 ]; then
    for i in 1 2 3; do stop "d$i" KILL; done
    sleep 0.5
    for i in 1 2 3; do start_daemon "$i" false; done
fi
wait "${CLIENTS[@]}" 2> /dev/null
note "all channels have ended"
for i in $(seq "$N"); do
    [ "$(count_events "s$i-1")" -lt "$EVENTS" ] || cannot_run "stream s$i has not broken off"
done
wait_ready 1 2 3
sleep "$((CONTACT_MS / 1000)).5"

# All that broke off are taken up, at the next daemon, with what is left of their time, and
# as many new ones begin.
LIMIT_MS=8000
for i in $(seq "$N"); do
    send_stream $(((i + 1) % 3 + 1)) "s$i-2" -H "Resumes: s$i-1" -H "Last-Event-Id: $(get_last_event "s$i-1")" &
    CLIENTS[$i]=$!
    send_stream $(((i + 1) % 3 + 1)) "n$i-1" -m 1.5 &
    CLIENTS[n$i]=$!
done
wait "${CLIENTS[@]}" 2> /dev/null
went_on=0 begun=0 mixed=0
for i in $(seq "$N"); do
    first=$(awk '/^data: / { print $4; exit }' "$WORK/s$i-1")
    note "s$i: $(count_events "s$i-1") events of $first; taken up: status $(cat "$WORK/status-s$i-2"), $(count_events "s$i-2") events; new stream n$i: status $(cat "$WORK/status-n$i-1"), $(count_events "n$i-1") events"
    [ "$(count_events "s$i-2")" = 0 ] || went_on=$((went_on + 1))
    [ "$(count_events "n$i-1")" = 0 ] || begun=$((begun + 1))
    ! grep '^data: ' "$WORK/s$i-2" | grep -qv " $first\$" || mixed=$((mixed + 1))
done
record_arrivals
note "$went_on of $N streams that were taken up went on, $mixed of them at the other version; $begun of $N new ones began"
[ "$begun" -ge $((N / 2)) ] || cannot_run "only $begun of $N new streams began"
finish $((2 * went_on < begun)) "LOST: of $N streams taken up $went_on went on, of $N new ones $begun began" \
    "held: of $N streams taken up $went_on went on, of $N new ones $begun began"
