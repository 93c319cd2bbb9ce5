# The pools' owner is killed under load, twice; callers retry.
"$RIG_BUILD/pearstair-load" --entries "$(rig_caller 1)" -n 200 -r 40 --resends 4 -q > "$RIG_DIR/load" &
load=$!
for round in 1 2; do
    sleep 1.5
    owner=$(rig_owner draft 1 2>/dev/null || rig_owner draft 2)
    [ -n "$owner" ] || owner=$(rig_owner draft 3)
    rig_kill "$owner" KILL
    sleep 0.5
    rig_start_daemon "${owner#d}"
done
wait $load
echo "exit $?"
print_load_errors "$RIG_DIR/load"
echo "most runs of one service id: $(get_most_service_runs)"
for i in 1 2 3; do rig_wait_until 15 rig_serves "$i" && echo "d$i serves"; done
