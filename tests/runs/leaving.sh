# A leaving backend server gets no new work after 3 s, and its streams go on to
# their end.
get_engine_runs() { curl -s "http://$(rig_engine "$1")/counts" | jq .runs; }
for i in 2 3; do rig_ctl 1 backend stop "e$i"; done | sed -E 's/[0-9]+/N/'
send_prompt 1 -N -d "$(print_prompt_body "long text" 150 true)" > "$RIG_DIR/stream" &
stream=$!
rig_wait_until 10 grep -q 'long:2' "$RIG_DIR/stream"
rig_ctl 2 backend join e2 | sed -E 's/[0-9]+/N/'
rig_ctl 2 backend leave e1 | sed -E 's/[0-9]+/N/'
sleep 3
before=$(get_engine_runs 1)
for i in $(seq 12); do send_prompt $((i % 3 + 1)) -d "$(print_prompt_body "s$i x" 3)" | print_outcome; done | sort | uniq -c | awk '{print $2, "times", $1}'
echo "new work on e1 after 3 s: $(($(get_engine_runs 1) - before))"
wait $stream
echo "stream complete: $(grep -c DONE "$RIG_DIR/stream"), words $(grep -o 'long:[0-9]*' "$RIG_DIR/stream" | wc -l)"
echo "== the owner is paused while the change is accepted"
rig_ctl 1 backend join e1 > /dev/null
sleep 1
owner=$(rig_owner draft 1)
other=$([ "$owner" = d1 ] && echo 2 || echo 1)
rig_kill "$owner" STOP
rig_ctl "$other" backend leave e1 | sed -E 's/[0-9]+/N/'
sleep 2.5
rig_kill "$owner" CONT
sleep 0.5
before=$(get_engine_runs 1)
for i in $(seq 12); do send_prompt $((i % 3 + 1)) -d "$(print_prompt_body "t$i x" 3)" | print_outcome; done | sort | uniq -c | awk '{print $2, "times", $1}'
echo "new work on e1: $(($(get_engine_runs 1) - before))"
echo "== the platform is down right after the change is accepted"
rig_ctl 1 backend join e1 > /dev/null
sleep 1
rig_ctl 1 backend leave e1 | sed -E 's/[0-9]+/N/'
rig_set_switches platform 0 down=1
sleep 3
before=$(get_engine_runs 1)
for i in $(seq 12); do send_prompt $((i % 3 + 1)) -d "$(print_prompt_body "u$i x" 3)" | print_outcome; done | sort | uniq -c | awk '{print $2, "times", $1}'
echo "new work on e1: $(($(get_engine_runs 1) - before))"
rig_set_switches platform 0 down=0
