# Orders that can't be carried out, are removed or changed: their status says so, and
# the servers of a version that isn't ordered any more get no requests.
get_rollouts() { echo "http://$(gw_store)/pearstair/objects/rollouts"; }
get_state() { curl -s "$(get_rollouts)/s" | jq -r '.status.state // "none"'; }
is_state() { [ "$(get_state)" = "$1" ]; }
get_revision() { curl -s "$(get_rollouts)/s" | jq -r .metadata.revision; }

# put_order TARGET DURATION - writes an order; removes the one before
put_order() {
    curl -sf -X DELETE "$(get_rollouts)/s" > /dev/null
    curl -sf -X POST -d "{\"metadata\":{\"name\":\"s\"},\"spec\":{\"service\":\"s\",\"target\":\"$1\",\"durationS\":$2}}" "$(get_rollouts)" > /dev/null
}

# start_servers VERSION N... - starts backend servers of this version beside the others
start_servers() {
    local n version=$1
    shift
    for n in "$@"; do
        GW_SERVER_VERSION[$n]=$version
        gw_start_runner "$n" "r$n-$version"
    done
    sleep 0.7
}

# count_runs VERSION FROM - prints how many requests its servers ran since then (ms)
count_runs() { awk -v version="-$1" -v from="$2" '$4 == "s" && $5 == "ran" && $2 >= from && index($3, version) { n++ } END { print n + 0 }' "$RIG_DIR/arrivals"; }
judge_runs() { [ "$1" = 0 ] && echo "none" || echo "some ($1)"; }

callers=()
for i in 1 2 3; do callers+=("$(gw_caller "$i")"); done
"$RIG_BUILD/standin-callers" 200 45 /safe/1 load "${callers[@]}" > "$RIG_DIR/result" &
load=$!

put_order v2 '"soon"'
rig_wait_until 3 is_state rolled_back && echo "no number as duration: rolled back"
put_order v2 0
rig_wait_until 3 is_state rolled_back && echo "no duration: rolled back"
put_order v2 2
rig_wait_until 4 is_state rolled_back && echo "no server of the target: rolled back"
put_order v1 30
rig_wait_until 3 is_state done && echo "all servers have the target: done"
curl -sf -X PUT -d '{"status":{"state":"x"},"metadata":{"revision":1}}' "$(get_rollouts)/s/status" > /dev/null || echo "a write of another revision is refused"

# Servers of a new version get nothing before an order names it.
since=$(date +%s%3N)
start_servers v2 8 10 12
sleep 2
echo "requests before the order: $(judge_runs "$(count_runs v2 "$since")")"
put_order v2 20
sleep 3
echo "requests after it: $([ "$(count_runs v2 "$since")" -gt 0 ] && echo some || echo none)"
curl -sf -X DELETE "$(get_rollouts)/s" > /dev/null
sleep 1
since=$(date +%s%3N)
sleep 2
echo "requests after its removal: $(judge_runs "$(count_runs v2 "$since")")"

# The target is changed while the order runs.
start_servers v3 14 16 18
start_servers v4 20 22 24
put_order v3 20
sleep 3
curl -sf -X PUT -d '{"spec":{"service":"s","target":"v4","durationS":20}}' "$(get_rollouts)/s" > /dev/null
sleep 1
since=$(date +%s%3N)
sleep 3
echo "requests to the target before the change: $(judge_runs "$(count_runs v3 "$since")"), to the one after it: $([ "$(count_runs v4 "$since")" -gt 0 ] && echo some || echo none)"

# A rolled-back version gets nothing either from a daemon that starts after that.
for n in 20 22 24; do gw_set_switches "$(gw_runner "$n")" errors=60; done
rig_wait_until 10 is_state rolled_back && echo "a bad one is rolled back"
rig_kill d2 KILL
rig_wait_exit d2 2
gw_start_daemon 2
rig_wait_until 10 gw_is_ready 2
since=$(date +%s%3N)
sleep 2
echo "requests after that: $(judge_runs "$(count_runs v4 "$since")")"
kill "$load"
