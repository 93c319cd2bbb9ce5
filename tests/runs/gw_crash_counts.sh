# A content ends a server at each of three daemons, and the allocator is killed
# after the second time: the crashes that it was told of still count, and the
# fourth request is refused.
get_allocator() { grep -h '"sharing.allocator"' "$RIG_DIR/d$1.log" | tail -1 | jq -r .name; }
allocator=$(get_allocator 1)
senders=()
for i in $(seq "$GW_DAEMONS"); do [ "d$i" = "$allocator" ] || senders+=("$i"); done
has_another_allocator() { [ "$(get_allocator "$1")" != "$allocator" ]; }
# send_crashing N - sends the content by the Nth sender; prints the answer and
# whether the server ended, and starts it again
send_crashing() {
    local answer
    answer=$(gw_send_request "${senders[$1]}" /once/1 "crashing-$1" -X POST -d "CRASH 0 x")
    if rig_wait_exit r2 1; then
        gw_restart_runner 2
        sleep 1 # until the daemons use it again
        echo "$answer, server ended"
    else
        echo "$answer, server runs"
    fi
}
send_crashing 0
send_crashing 1
rig_kill "$allocator" KILL
for i in "${senders[@]}"; do rig_wait_until 6 has_another_allocator "$i"; done
sleep 1
send_crashing 2
send_crashing 3
