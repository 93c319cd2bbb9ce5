# Backend servers' answers are cut, belong to another request or are missing.
set_all_engine_switches() { for i in $(seq "$RIG_ENGINES"); do rig_set_switches engine "$i" "$1"; done; }
echo "== a stream is cut: it is read again from the engine"
set_all_engine_switches cut=1
send_prompt 1 -N -d "$(print_prompt_body "cut text" 8 true)" > "$RIG_DIR/cut"
echo "words $(grep -o 'cut:[0-9]*' "$RIG_DIR/cut" | wc -l), complete $(grep -c DONE "$RIG_DIR/cut")"
set_all_engine_switches cut=0
echo "== cut again and again: the caller sees that its answer is cut"
set_all_engine_switches cut=9
send_prompt 1 -N -d "$(print_prompt_body "torn text" 8 true)" > "$RIG_DIR/torn"
echo "complete $(grep -c DONE "$RIG_DIR/torn")"
set_all_engine_switches cut=0
echo "== the answer of another request"
set_all_engine_switches cross=1
send_prompt 2 -d "$(print_prompt_body "cross text" 4)" | print_outcome
set_all_engine_switches cross=0
echo "== an id that the engine has generated"
set_all_engine_switches own=1
send_prompt 2 -d "$(print_prompt_body "own text" 4)" | print_outcome
set_all_engine_switches own=0
echo "== a whole answer is cut"
rig_set_switches service 1 cut=1
send_note 1 w1 | print_outcome
echo "== no answer until the deadline"
set_all_engine_switches hang=1
send_prompt 3 -d "$(print_prompt_body "hang text" 4)" -H 'X-Deadline-Ms: 2500' | print_outcome
set_all_engine_switches hang=0
echo "== two engines have crashed: requests go to the third, or end as unknown"
rig_kill e1 KILL
rig_kill e2 KILL
for i in $(seq 6); do send_prompt $((i % 3 + 1)) -d "$(print_prompt_body "r$i x" 3)" | print_outcome; done | sort | uniq -c | awk '{print $2, $3, $4, $5, "times", $1}'
echo "== all engines are gone: refused when none can be back in time"
rig_kill e3 KILL
send_prompt 1 -d "$(print_prompt_body "none x" 3)" -H 'X-Deadline-Ms: 3000' | print_outcome
