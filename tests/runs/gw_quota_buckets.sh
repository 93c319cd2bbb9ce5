# Quotas as token buckets: a team within its quota is served at any daemon, also when the
# allocator is killed; what exceeds the quota is refused.
# send LABEL COUNT DAEMON... - sends so many requests of 10 units, to these daemons in turn;
# prints how many were served, and the other outcomes
send() {
    local label=$1 count=$2 i daemons
    shift 2
    daemons=("$@")
    for i in $(seq "$count"); do gw_send_request "${daemons[i % $#]}" /safe/x "$label-$i"; done > "$RIG_DIR/$label"
    echo "$label: $(grep -c '200 ok' "$RIG_DIR/$label") served"
    grep -v '200 ok' "$RIG_DIR/$label" | sort -u
}
get_allocator() { grep -h '"sharing.allocator"' "$RIG_DIR/d$1.log" | tail -1 | jq -r .name; }
gw_put_config 6 '"key-1"' 1000
sleep 9 # a lower quota binds a window after it is in force
gw_put_config 7 '"key-1"' 10
sleep 9
echo "== a bucket of 10 units a second and a burst of 10: one request at a time, at any daemon"
for i in 1 2 3 1 2 3; do
    sleep 1.1
    gw_send_request "$i" /safe/x "single-$i-$RANDOM"
done
echo "== a bucket of 100 units a second and a burst of 100"
gw_put_config 8 '"key-1"' 100
sleep 9
send burst 10 1
sleep 1.5
# 1,000 units, of which the bucket has 100, a part of the tolerance and a refill of some
for i in 1 2 3; do for k in $(seq 34); do gw_send_request "$i" /safe/x "many-$i-$k"; done > "$RIG_DIR/many-$i" & done
wait $(jobs -rp | tail -3)
n=$(cat "$RIG_DIR"/many-? | grep -c '200 ok')
echo "$n of 102 served" >&2
[ "$n" -ge 10 ] && [ "$n" -le 90 ] && echo "what the bucket has is served"
cat "$RIG_DIR"/many-? | grep -v '200 ok' | sort -u
echo "== the allocator is killed"
sleep 8
first=$(get_allocator 1)
others=$(for i in 1 2 3; do [ "d$i" = "$first" ] || echo "$i"; done)
rig_kill "$first" KILL
send lost 6 $others
sleep 2
send after 6 $others
