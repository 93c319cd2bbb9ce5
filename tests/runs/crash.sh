# A request that crashes every engine it runs on is sent 60 times, each time
# under a new id. It is refused after at most two crashes, and other requests
# are served.
count_alive() { local n=0 i; for i in $(seq "$RIG_ENGINES"); do rig_is_alive "e$i" && n=$((n + 1)); done; echo "$n"; }
for i in $(seq 60); do
    send_prompt $((i % 3 + 1)) -d "$(print_prompt_body "CRASH it" 5)" -H "Idempotency-Key: c$i" | print_outcome >> "$RIG_DIR/crashing"
    send_prompt $(((i + 1) % 3 + 1)) -d "$(print_prompt_body "good$i x" 3)" -H "Idempotency-Key: g$i" | print_outcome >> "$RIG_DIR/others"
done
echo "engines lost to crashes: $((RIG_ENGINES - $(count_alive))) of $RIG_ENGINES, at most 2"
echo "last answer to the crashing request: $(tail -1 "$RIG_DIR/crashing")"
echo "other requests:"
sort "$RIG_DIR/others" | uniq -c | awk '{print " ", $2, "times", $1}'
