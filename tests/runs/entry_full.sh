# An entry at its limit of open requests: requests of a higher tier take the
# place of those of a lower tier, waiting ones first.
count_open() { rig_ctl 1 status --json | jq .open_requests; }
has_open() { [ "$(count_open)" = "$1" ]; }
for i in $(seq "$RIG_ENGINES"); do rig_set_switches engine "$i" hang=1; done
# send NAME TIER - starts a streamed request in the background
send() {
    send_prompt 1 -N -d "$(print_prompt_body "$1 x" 4 true)" -H "X-Tier: $2" > "$RIG_DIR/$1" &
    pids+=($!)
}
pids=()
for n in 1 2 3 4; do send "low$n" 2; done
rig_wait_until 5 has_open 4
echo "open: $(count_open)"
send top1 0
send top2 0
sleep 1
echo "one more request of tier 2: $(send_prompt 1 -d "$(print_prompt_body "low5 x" 4)" -H 'X-Tier: 2' | print_outcome)"
echo "open: $(count_open)"
for i in $(seq "$RIG_ENGINES"); do rig_set_switches engine "$i" hang=0; done
wait "${pids[@]}"
echo "tier 0 served: $(grep -l DONE "$RIG_DIR"/top1 "$RIG_DIR"/top2 | wc -l) of 2"
echo "tier 2 served: $(grep -l DONE "$RIG_DIR"/low? | wc -l), refused or cut: $(grep -L DONE "$RIG_DIR"/low? | wc -l)"
