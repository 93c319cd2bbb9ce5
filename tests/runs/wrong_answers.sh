# Backend servers' answers are cut, belong to another request or are missing.
switch_all() { for i in $(seq "$RIG_ENGINES"); do rig_set_switches engine "$i" "$1"; done; }
echo "== a stream is cut: it is read again from the engine"
switch_all cut=1
ask 1 -N -d "$(prompt "cut text" 8 true)" > "$RIG_DIR/cut"
echo "words $(grep -o 'cut:[0-9]*' "$RIG_DIR/cut" | wc -l), complete $(grep -c DONE "$RIG_DIR/cut")"
switch_all cut=0
echo "== cut again and again: the caller sees that its answer is cut"
switch_all cut=9
ask 1 -N -d "$(prompt "torn text" 8 true)" > "$RIG_DIR/torn"
echo "complete $(grep -c DONE "$RIG_DIR/torn")"
switch_all cut=0
echo "== the answer of another request"
switch_all cross=1
ask 2 -d "$(prompt "cross text" 4)" | outcome
switch_all cross=0
echo "== an id that the engine has generated"
switch_all own=1
ask 2 -d "$(prompt "own text" 4)" | outcome
switch_all own=0
echo "== a whole answer is cut"
rig_set_switches service 1 cut=1
send_note 1 w1 | outcome
echo "== no answer until the deadline"
switch_all hang=1
ask 3 -d "$(prompt "hang text" 4)" -H 'X-Deadline-Ms: 2500' | outcome
switch_all hang=0
echo "== two engines have crashed: requests go to the third, or end as unknown"
rig_kill e1 KILL
rig_kill e2 KILL
for i in $(seq 6); do ask $((i % 3 + 1)) -d "$(prompt "r$i x" 3)" | outcome; done | sort | uniq -c | awk '{print $2, $3, $4, $5, "times", $1}'
echo "== all engines are gone: refused when none can be back in time"
rig_kill e3 KILL
ask 1 -d "$(prompt "none x" 3)" -H 'X-Deadline-Ms: 3000' | outcome
