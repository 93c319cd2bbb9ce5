# Guards against entries of other writers that take sound ones with them (RECOVER): values
# that the JSON library can't hold, and names that mean something else in a path, in lists
# of several pages, of each kind, while daemons run and after all of them start again.
kinds="servers pearstair-members config pearstair-quotas"
store_path() { echo "http://$(gw_store)/pearstair/objects/$1"; }
# deep TEXT N - prints a text N times
deep() {
    local blanks
    blanks=$(printf "%$2s")
    echo "${blanks// /$1}"
}
deep_value() { echo "$(deep '[' 10000)$(deep ']' 10000)"; }
# print_values - prints values of a spec, or of a field of a sound one, a line each
print_values() {
    echo 18446744073709551616
    echo 1e999
    echo -18446744073709551617
    echo '"\u0000"'
    echo '"\ud800"'
    printf '"\xff\xfe"\n'
    deep_value
    echo "$(deep '[' 3000)1$(deep ']' 3000)"
    echo '{"a":[true,null,{}],"a":7}'
    echo '"text"'
    echo null
    echo -1
}
# print_specs - prints a spec for each field of a registration and each such value
print_specs() {
    local field value
    print_values
    for field in service address slots state born coldLeftMs seq zone; do
        while read -r value; do
            echo '{"service":"s","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":6,"state":"asleep","coldLeftMs":0,"domain":"z1","caller":"127.0.0.1:9","peer":"127.0.0.1:9","incarnation":-1,"'$field'":'$value'}'
        done < <(print_values)
    done
}
# print_names - prints names as JSON strings without quotes, a line each
print_names() {
    local long
    long=$(deep n 150)
    printf '%s\n' 'f&afterRev=z' 'f+g' 'f#g' 'f%41' 'f%' 'f g' 'f?watch=1' 'f?revision=1' 'd1/status' '.' '..' 'f=g' 'f;g' 'ä' '\"' '\\' '\t' '\u0001' \
        "$long" "${long}1" "$(deep '&' 127)" "$(deep '+' 128)" "$(deep é 700)" "~" "r1 " "r2+" "d1?revision=1" "zz"
}
# add_entries KIND - has another writer add an entry for each name and each spec
add_entries() {
    local n=0 name spec names=() specs=()
    mapfile -t names < <(print_names)
    mapfile -t specs < <(print_specs)
    for spec in "${specs[@]}"; do
        name=${names[n]:-n-$(printf %03d $n)}
        echo '{"metadata":{"name":"'"$name"'"},"spec":'"$spec"'}' > "$RIG_DIR/entry"
        curl -sf -X POST --data-binary "@$RIG_DIR/entry" "$(store_path "$1")" > /dev/null || echo "not taken: $1 $name"
        n=$((n + 1))
    done
}
# send_some LABEL - sends ten requests to each daemon
send_some() {
    local i k
    for i in 1 2 3; do
        for k in $(seq 10); do gw_send_request $i /safe/1 "$1-$i-$k"; done
    done | sort | uniq -c | sed "s/^ */$1: /"
}
restart_all() {
    local i
    for i in 1 2 3; do rig_kill "d$i" KILL; done
    for i in 1 2 3; do rig_wait_exit "d$i" 5; done
    for i in 1 2 3; do gw_start_daemon "$i"; done
    for i in 1 2 3; do rig_wait_until 12 gw_is_ready "$i" || echo "daemon $i is not ready"; done
}
count_lines() { cat "$RIG_DIR"/d?.log | grep -c "$1"; }
gw_set_switches "$(gw_store)" "registration_ttl_ms=600000&list_max=40"
for kind in $kinds; do add_entries "$kind"; done
listed=$(curl -s "$(store_path servers)" | jq -R . | wc -l)
[ "$listed" -gt 0 ] && echo "entries are in the store"
sleep 3
send_some "while daemons run"
before=$(count_lines '"store.malformed"')
restart_all
send_some "after a restart of all"
for i in 1 2 3; do gw_lists_all_daemons $i && echo "daemon $i names all daemons"; done
echo "== lists end"
calls() { curl -s "http://$(gw_store)/counts" | jq .calls; }
from=$(calls)
sleep 5
per_daemon=$((($(calls) - from) / 3))
echo "calls of a daemon in 5 s: $per_daemon" >&2
[ $per_daemon -lt 120 ] && echo "few calls"
lines=$(($(count_lines '"store.malformed"') - before))
echo "malformed objects in $lines lines since the restart" >&2
[ $lines -lt 150 ] && echo "few lines"
[ "$(count_lines '"store.malformed"')" -gt 10 ] && echo "malformed objects are logged"
[ "$(count_lines '"store.lost"')" = 0 ] && echo "the store counts as available"
echo "== a change is heard beside one that can't be read"
curl -sf -X PUT --data-binary "{\"spec\":{\"x\":[$(deep_value),18446744073709551616]}}" "$(store_path servers/zz)" > /dev/null
gw_put_config 9
is_applied() { [ "$(grep -l '"config.apply","version":9' "$RIG_DIR"/d?.log | wc -l)" = 3 ]; }
rig_wait_until 2 is_applied && echo "configuration in force at all daemons"
gw_start_runner 4
rig_wait_until 5 curl -sf "http://$(gw_runner 4)/counts"
says() { [ "$(cat "$RIG_DIR"/d?.log | grep "\"server.$1\"" | grep -c "\"$2\"")" -ge 3 ]; }
rig_wait_until 3 says listed r4 && echo "a new server is known to all"
echo "== a server's entry that can't be read any more names no server"
rig_kill r4 STOP
curl -sf -X PUT --data-binary '{"spec":{"service":"s","slots":18446744073709551616}}' "$(store_path servers/r4)" > /dev/null
rig_wait_until 3 says unlisted r4 && echo "it is known to none"
rig_kill r4 KILL
send_some "without it"
echo "== the allocator's state can't be read"
curl -sf -X POST --data-binary "{\"metadata\":{\"name\":\"spent\"},\"spec\":{\"teams\":[],\"writtenMs\":1e999,\"crashes\":$(deep_value)}}" "$(store_path pearstair-quotas)" > /dev/null ||
    curl -sf -X PUT --data-binary "{\"spec\":{\"teams\":[],\"writtenMs\":1e999,\"crashes\":$(deep_value)}}" "$(store_path pearstair-quotas/spent)" > /dev/null
restart_all
send_some "after another restart"
is_read() { [ "$(grep -l '"quota.recover"' "$RIG_DIR"/d?.log | wc -l)" = 3 ]; }
is_read && echo "daemons go on without it"
echo "== the list goes back to an older copy, history is lost"
gw_set_switches "$(gw_store)" "copy=1"
sleep 1
gw_set_switches "$(gw_store)" "restore=1"
gw_set_switches "$(gw_store)" "compact=1"
sleep 3
send_some "restored"
