# The owner is paused for longer than its lease, replaced, and continued; under
# load.
"$RIG_BUILD/pearstair-load" --entries "$(rig_caller 1)" -n 200 -r 40 --resends 2 -q > "$RIG_DIR/load" &
load=$!
sleep 1
owner=$(rig_owner draft 1)
rig_kill "$owner" STOP
sleep 4
other=$([ "$owner" = d1 ] && echo 2 || echo 1)
echo "another owner: $([ "$(rig_owner draft "$other")" != "$owner" ] && echo yes || echo no)"
rig_kill "$owner" CONT
wait $load
echo "exit $?"
print_load_errors "$RIG_DIR/load"
echo "most runs of one service id: $(get_most_service_runs)"
all_agree() { [ "$(for i in 1 2 3; do rig_owner draft "$i"; done | sort -u | wc -l)" = 1 ]; }
rig_wait_until 10 all_agree && echo "all agree on the owner"
echo "the paused owner noticed its pause: $(rig_ctl "${owner#d}" status --json | jq '.pauses > 0')"
