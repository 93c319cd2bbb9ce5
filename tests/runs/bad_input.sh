# Requests that break a rule are answered with a clear status, are not
# dispatched, and leave the daemon working.
before=$(count_engine_runs)
try() {
    local name=$1
    shift
    echo "$name: $(curl -s -m 20 -w '\n%{http_code}' "http://$(rig_caller 1)/v1/completions" "$@" | print_outcome)"
}
try "not JSON" -d '{'
try "not an object" -d '[1]'
try "empty body" -X POST
try "no model" -d '{"prompt":"x"}'
try "model not text" -d '{"model":3,"prompt":"x"}'
try "no prompt" -d '{"model":"draft"}'
try "prompt not text" -d '{"model":"draft","prompt":[1]}'
try "bad max_tokens" -d '{"model":"draft","prompt":"x","max_tokens":-4}'
try "bad stream" -d '{"model":"draft","prompt":"x","stream":"yes"}'
try "bad tier" -d "$(print_prompt_body x 1)" -H 'X-Tier: 9'
try "tier not a number" -d "$(print_prompt_body x 1)" -H 'X-Tier: high'
try "bad deadline" -d "$(print_prompt_body x 1)" -H 'X-Deadline-Ms: soon'
try "deadline zero" -d "$(print_prompt_body x 1)" -H 'X-Deadline-Ms: 0'
try "bad team" -d "$(print_prompt_body x 1)" -H 'X-Team: a b'
try "key too long" -d "$(print_prompt_body x 1)" -H "Idempotency-Key: $(printf 'k%.0s' $(seq 90))"
try "unknown model" -d '{"model":"other","prompt":"x"}'
head -c 6000000 /dev/zero | tr '\0' 'a' > "$RIG_DIR/large"
try "body too large" --data-binary "@$RIG_DIR/large"
echo "headers too large: $(curl -s -m 20 -o /dev/null -w '%{http_code}' -H "X-Junk: $(head -c 50000 "$RIG_DIR/large")" "http://$(rig_caller 1)/v1/entries")"
try "impossible deadline" -d "$(print_prompt_body x 3000)" -H 'X-Deadline-Ms: 40'
echo "slow sender: $(
    exec 3<> "/dev/tcp/127.0.0.1/$RIG_PORT"
    printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{' >&3
    sleep 0.5
    send_prompt 1 -d "$(print_prompt_body fine 2)" | print_outcome
)"
printf 'garbage\r\n\r\n' > "/dev/tcp/127.0.0.1/$RIG_PORT"
echo "dispatched: $(($(count_engine_runs) - before))"
echo "healthy: $(curl -s "http://$(rig_admin 1)/healthz")"
