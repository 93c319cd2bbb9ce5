# Graceful shutdown of an owner and of an entry, under load: GET /v1/entries no
# longer lists the owner, and no answer is cut.
"$RIG_BUILD/pearstair-load" --entries "$(rig_caller 3)" -n 160 -r 40 -q > "$RIG_DIR/load" &
load=$!
sleep 1
owner=$(rig_owner draft 3)
rig_kill "$owner" TERM
other=$([ "$owner" = d1 ] && echo 2 || echo 1)
is_absent() { ! curl -s "http://$(rig_caller "$other")/v1/entries" | grep -q "\"$(rig_caller "${owner#d}")\""; }
rig_wait_until 3 is_absent && echo "left the entries while it still serves: $(rig_is_alive "$owner" && echo yes)"
rig_wait_exit "$owner" 30 && echo "owner has exited"
grep -q 'has left' "$RIG_DIR/$owner.log" && echo "gracefully"
has_new_owner() { [ "$(rig_owner draft "$other")" != "$owner" ]; }
rig_wait_until 5 has_new_owner && echo "its pools have another owner"
wait $load
echo "exit $?"
awk 'NR > 1 && /^ +[0-9]/ { bad += $5 + $7 + $8 + $9 + $10 + $11 } END { print "late, failed, cut, crossed, doubled, lost:", bad }' "$RIG_DIR/load"
echo "most runs of one service id: $(get_most_service_runs)"
echo "== drain by the operator's tool, with a stream open"
entry=$([ "$other" = 1 ] && echo 3 || echo 1)
[ "d$entry" != "$owner" ] || entry=2
send_prompt "$entry" -N -d "$(print_prompt_body "tail text" 100 true)" > "$RIG_DIR/stream" &
stream=$!
rig_wait_until 10 grep -q 'tail:2' "$RIG_DIR/stream"
rig_ctl "$entry" drain
wait $stream
echo "stream complete: $(grep -c DONE "$RIG_DIR/stream"), words $(grep -o 'tail:[0-9]*' "$RIG_DIR/stream" | wc -l)"
rig_wait_exit "d$entry" 30 && echo "entry has exited"
