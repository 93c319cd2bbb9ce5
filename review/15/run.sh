#!/usr/bin/env bash
# A new manifest takes a key away. Over 5 s later, in a drill, the store is away
# for a second and comes back from a copy some seconds old; the operator writes
# its newest manifest again 2 s after that. One daemon of three is killed in that
# second, and starts again. The others know the newest manifest all the while.
# Broken (1): a request that was sent later than revokeMs (5 s) after the
# acknowledgement of that manifest, with the key that it took away, runs.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
source "$CASE_DIR/../lib-3.sh"
REVOKE_MS=5000

# put_manifest VERSION KEYS
put_manifest() { r3_print_config "$1" | sed "s/\"key-1\"/$2/" | curl -sf -X PUT -d @- "http://$(r3_store)/pearstair/objects/config/main" > /dev/null || r3_fail "the store took no manifest"; }
# send_key N ID KEY - an order (unsafe) with this key
send_key() {
    local sent
    sent=$(date +%s%3N)
    echo "$sent front-$1 $2 $3 $(r3_send "$1" /ack/1 "$2" 4000 -H "Authorization: Bearer $3")" >> "$R3_DIR/answers"
}
r3_send() { # with the key that is given
    local n=$1 path=$2 id=$3 limit=$4
    shift 4
    curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST -d "body of $id" -H 'Host: a.example' -H "Request-Id: $id" \
        -H "Deadline-Ms: $limit" "$@" "http://$(r3_caller "$n")$path"
}

r3_start_store
for n in 1 2 3; do r3_start_server "$n" s 6; done
r3_start_server 9 m 19
r3_start_daemons
put_manifest 6 '"key-1","key-2"'
sleep 2.5
for n in 1 2 3; do send_key "$n" "before-$n" key-2; done
r3_note "three daemons serve; trouble is $TROUBLE"

r3_switch copy=1
sleep 0.5
put_manifest 7 '"key-1"'
acked_ms=$(date +%s%3N)
r3_note "manifest 7 takes key-2 away"
sleep 5.5
if [ "$TROUBLE" != 0 ]; then
    r3_note "drill: the store is away for 1 s; front-3 is killed, and starts again 0.3 s later"
    r3_switch down=1
    r3_kill d3 KILL
    sleep 0.3
    r3_start_daemon 3
    sleep 0.7
    r3_switch "down=0&restore=1"
    r3_note "the store is back from a copy of 7 s before"
fi
end=$(($(date +%s%3N) + 2000))
i=0
while [ "$(date +%s%3N)" -lt $end ]; do
    i=$((i + 1))
    for n in 1 2 3; do
        send_key "$n" "after-$n-$i" key-2
        send_key "$n" "sound-$n-$i" key-1
    done
    sleep 0.05
done
if [ "$TROUBLE" != 0 ]; then
    r3_note "the operator writes manifest 7 again"
    put_manifest 7 '"key-1"'
fi
sleep 2.5
for n in 1 2 3; do send_key "$n" "later-$n" key-2; done

sort "$R3_DIR/answers" >> "$R3_RECORD"
cat "$R3_DIR/ran" >> "$R3_RECORD"
late=$(awk -v from=$((acked_ms + REVOKE_MS)) 'NR == FNR { if ($3 == "ran") ran[$4] = 1; next } $4 == "key-2" && $1 > from && ($3 in ran) { print $2, $3, $1 - from + '$REVOKE_MS' }' "$R3_DIR/ran" "$R3_DIR/answers")
n_late=$(grep -c . <<< "$late")
[ -z "$late" ] || r3_note "first and last such request (machine, id, ms after the acknowledgement): $(head -1 <<< "$late"); $(tail -1 <<< "$late")"
r3_note "answers to key-2 over $REVOKE_MS ms after the acknowledgement: $(awk -v from=$((acked_ms + REVOKE_MS)) '$4 == "key-2" && $1 > from { print $2, $5 }' "$R3_DIR/answers" | sort | uniq -c | tr -s ' \n' ' ;')"
r3_note "of these requests, $n_late have run"
[ "$(grep -c 'key-1 200$' "$R3_DIR/answers")" -ge 10 ] || r3_fail "too few requests were served"
[ "$(grep -c 'before.* key-2 200$' "$R3_DIR/answers")" = 3 ] || r3_fail "key-2 was not in force at first"
[ "$n_late" -gt 0 ] && exit 1
exit 0
