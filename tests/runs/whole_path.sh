# Requests of each kind from end to end: entries, rules, and the log
# lines of one request.
echo "== load"
"$RIG_BUILD/pearstair-load" --entries "$(rig_caller 2)" -n 60 -r 40 -q > "$RIG_DIR/load"
echo "exit $?"
awk 'NR > 1 && /^ +[0-9]/ { print "tier", $1, "requests", $2, "goodput", $3 }' "$RIG_DIR/load"
print_load_errors "$RIG_DIR/load"
echo "most runs of one id: $(get_most_service_runs)"
echo "== entries, own failure domain first"
for i in 1 2 3; do
    curl -s "http://$(rig_caller "$i")/v1/entries" | jq -c '[.entries[0].domain, (.entries | length), .keep_ms]'
done
echo "== rules"
send_prompt 1 -d "$(print_prompt_body "x y" 3)" -H 'X-Team: blocked' | print_outcome
curl -s -w '\n%{http_code}' "http://$(rig_caller 1)/elsewhere" | print_outcome
send_prompt 1 -d '{"model":"none","prompt":"x"}' | print_outcome
rig_ctl 1 rules test --model draft-7
rig_ctl 1 rules test --model draft --team blocked
rig_ctl 1 rules test --model none
echo "== chat"
curl -s "http://$(rig_caller 1)/v1/chat/completions" -d '{"model":"draft","messages":[{"role":"user","content":"hi there"}],"max_tokens":2}' | jq -r .choices[0].text
echo "== a plain call keeps method, path and body"
curl -s -X PATCH -d 'the body' "http://$(rig_caller 3)/records/a/b" | jq -c '[.method, .path, .echo]'
echo "exact path with a query: $(curl -s "http://$(rig_caller 3)/exact?a=1" | jq -r .path)"
echo "== log lines of one request"
send_prompt 1 -d "$(print_prompt_body "traced" 2)" -H 'Idempotency-Key: traced' > /dev/null
ticket=$(grep -h 'default/traced' "$RIG_DIR/d1.log" | grep -o 'd1\.[0-9a-f]*\.[0-9]*')
for part in 'route: Routed' 'place: Placed' 'route: Dispatches' 'relay: Ended'; do
    grep -h "$part $ticket " "$RIG_DIR"/d?.log | sed -E "s/.* info: //; s/$ticket/TICKET/; s/draft\.[0-9]+\.[0-9]+/TOKEN/; s/ on e[0-9]/ on ENGINE/; s/ to e[0-9]/ to ENGINE/; s/in [0-9]+ ms/in N ms/"
done
