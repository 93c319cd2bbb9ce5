# Two teams use a service that runs 80 requests a second: one sends more than twice
# as many, the other three requests at a time. With the settings team_shares and
# planned_returns, switched on while the daemons run, the other one is served.
gw_print_config 6 | jq -c '.spec.tenants += [.spec.tenants[0]] | .spec.tenants[0].apiKeys = ["key-1"]
    | .spec.tenants[1].apiKeys = ["key-2"] | .spec.tenants[1].name = "team-2" | .spec.routes[].timeoutMs = 1500' |
    curl -sf -X PUT -d @- "http://$(gw_store)/pearstair/objects/config/main" > /dev/null
sleep 2
# send_quiet N PREFIX - sends requests of team-2 to daemon N, one after another, for 6 s
send_quiet() {
    local i=0 end=$((SECONDS + 6))
    while [ "$SECONDS" -lt "$end" ]; do
        i=$((i + 1))
        GW_KEY=" Bearer key-2" GW_LIMIT=1500 gw_send_request "$1" /safe/1 "quiet-$2-$BASHPID-$i"
    done
}
# try LABEL - prints the figures of both teams to standard error, and the part of team-2's
# requests that were served, in percent
try() {
    local k senders=()
    : > "$RIG_DIR/quiet"
    "$RIG_BUILD/standin-callers" 200 7 /safe/1 "noisy-$1" $(for k in 1 2 3; do gw_caller "$k"; done) > "$RIG_DIR/noisy" &
    senders+=($!)
    sleep 1
    for k in 1 2 3; do
        send_quiet "$k" "$1" >> "$RIG_DIR/quiet" &
        senders+=($!)
    done
    wait "${senders[@]}"
    echo "$1: noisy team: $(cat "$RIG_DIR/noisy"); the other one: $(sort "$RIG_DIR/quiet" | uniq -c | tr '\n' ';')" >&2
    awk '{ n++; ok += $0 == "200 ok" } END { printf "%d\n", 100 * ok / n }' "$RIG_DIR/quiet"
}
before=$(try before)
for i in 1 2 3; do
    GW_MORE_SETTINGS=$'team_shares = true\nplanned_returns = true' gw_write_settings "$i"
    rig_kill "d$i" HUP
done
sleep 1
after=$(try after)
[ "$after" -ge 95 ] && [ "$after" -gt "$before" ] && echo "the other team is served beside the noisy one" || echo "served $before%, then $after%"
grep -hq '"event":"teams.division"' "$RIG_DIR"/d?.log && echo "the allocator logs who has the slots"
grep -h '"event":"request.refuse"' "$RIG_DIR"/d?.log | grep -q '"team":"team-1"' && echo "refusals name the team"
curl -s "http://$(gw_metrics 1)/" | grep -q '^pearstair_returned_total{service="s"}' && echo "returns are counted"
curl -s "http://$(gw_metrics 1)/" | grep '^pearstair_return\|^pearstair_teams' >&2
grep -h '"event":"teams.division"' "$RIG_DIR"/d?.log | tail -2 >&2
grep -h '"event":"request.refuse"' "$RIG_DIR"/d?.log | tail -2 >&2
