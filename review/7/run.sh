#!/usr/bin/env bash
# A request whose Content-Length has a blank before the colon carries another request as
# its body. Exits with 1 if a server runs the one inside. TROUBLE=0: without the blank.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run
: > "$RECORD"
source "$CASE/../lib-2.sh"

start_store
put_manifest 5 "$KEYS"
start_server 1 s
start_server 2 s
for i in 1 2; do start_daemon "$i" true; done
wait_ready 1 2
served() { [ "$(send 1 /safe/1 "probe-$RANDOM" key-1)" = 200 ]; }
wait_for 10 served || cannot_run "nothing is served"

# send_outer N FIELD - sends daemon 1 a request whose body is the text of another one, and
# notes what comes back in 2 s
send_outer() {
    local inner outer
    inner=$(printf 'POST /once/inner HTTP/1.1\r\nHost: a.example\r\nRequest-Id: inner-%s\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n.' "$1")
    inner=${inner%.}
    outer=$(printf 'POST /once/outer HTTP/1.1\r\nHost: a.example\r\nRequest-Id: outer-%s\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 3000\r\n%s: %d\r\n\r\n.' "$1" "$2" ${#inner})
    outer=${outer%.}
    note "request outer-$1 sent, its length in the field '$2:'; its body of ${#inner} bytes:"
    sed 's/^/    /; s/\r$//' <<< "$inner" >> "$RECORD"
    exec 4<> "/dev/tcp/127.0.0.1/$BASE"
    printf '%s%s' "$outer" "$inner" >&4
    note "answers on that connection:"
    timeout 2 cat <&4 | tr -d '\r' | sed 's/^/    /' >> "$RECORD"
    exec 4<&-
}

name='Content-Length'
[ "$TROUBLE" = 0 ] || name='Content-Length '
for i in 1 2 3 4 5; do send_outer "$i" "$name"; done
sleep 0.5
record_arrivals
n=0
for i in 1 2 3 4 5; do
    [ "$(count_runs "outer-$i")" -le 1 ] || cannot_run "outer-$i ran twice"
    n=$((n + $(count_runs "inner-$i")))
done
finish "$n" "UNASKED: servers have run $n of 5 requests that were smuggled inside others" \
    "held: no request inside another one has run"
