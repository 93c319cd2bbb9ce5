# An entry is killed during a stream; its caller retries through another entry.
# The request runs once and its answer is read again from the engine.
body=$(print_prompt_body "whole1 text" 120 true)
send_prompt 1 -N -d "$body" -H 'Idempotency-Key: k1' > "$RIG_DIR/first" &
first=$!
rig_wait_until 10 grep -q 'whole1:3' "$RIG_DIR/first"
rig_kill d1 KILL
wait $first
echo "first answer looks complete: $(grep -c DONE "$RIG_DIR/first")"
sleep 1.5
send_prompt 2 -N -d "$body" -H 'Idempotency-Key: k1' > "$RIG_DIR/second"
echo "retry: $(print_outcome < "$RIG_DIR/second"), words $(grep -o 'whole1:[0-9]*' "$RIG_DIR/second" | wc -l), first $(grep -o 'whole1:[0-9]*' "$RIG_DIR/second" | head -1), last $(grep -o 'whole1:[0-9]*' "$RIG_DIR/second" | tail -1), complete $(grep -c DONE "$RIG_DIR/second")"
echo "dispatches: $(count_engine_runs)"
echo "== every engine hangs, the entry is killed, the caller retries"
for i in $(seq "$RIG_ENGINES"); do rig_set_switches engine "$i" hang=1; done
send_prompt 2 -N -d "$(print_prompt_body "held text" 5 true)" -H 'Idempotency-Key: k2' > "$RIG_DIR/third" &
third=$!
sleep 0.5
echo "retry while it runs: $(send_prompt 3 -d "$(print_prompt_body "held text" 5 true)" -H 'Idempotency-Key: k2' | print_outcome)"
rig_kill d2 KILL
wait $third
sleep 1.5
for i in $(seq "$RIG_ENGINES"); do rig_set_switches engine "$i" hang=0; done
echo "retry after the hang: $(send_prompt 3 -d "$(print_prompt_body "held text" 5 true)" -H 'Idempotency-Key: k2' | print_outcome)"
echo "retried once more: $(send_prompt 3 -d "$(print_prompt_body "held text" 5 true)" -H 'Idempotency-Key: k2' | print_outcome)"
echo "dispatches: $(count_engine_runs)"
