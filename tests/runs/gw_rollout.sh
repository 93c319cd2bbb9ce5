# Traffic is moved to servers of another version as an operator orders: to a good one
# by the time limit, and away from bad ones before many requests have met them, also
# when the allocator is killed in the middle.
get_allocator() { grep -h '"sharing.allocator"' "$RIG_DIR/d1.log" | tail -1 | jq -r .name; }
get_rollouts() { echo "http://$(gw_store)/pearstair/objects/rollouts"; }
get_state() { curl -s "$(get_rollouts)/s" | jq -r '.status.state'; }

# start_servers VERSION ERRORS N... - starts backend servers of this version beside the
# others, of whose answers so many in a hundred are failures
start_servers() {
    local n version=$1 errors=$2
    shift 2
    for n in "$@"; do
        GW_SERVER_VERSION[$n]=$version
        gw_start_runner "$n" "r$n-$version"
        rig_wait_until 5 curl -sf "http://$(gw_runner "$n")/counts"
        gw_set_switches "$(gw_runner "$n")" "errors=$errors"
    done
}

# count_runs VERSION FROM TO - prints how many requests servers of this version ran
# between these times (ms), of how many in all, and the time of the last one
count_runs() { awk -v version="-$1" -v from="$2" -v to="$3" '$4 == "s" && $5 == "ran" && $2 >= from && $2 < to { n++; if (index($3, version)) { own++; last = $2 } } END { printf "%d %d %.0f\n", own, n, last }' "$RIG_DIR/arrivals"; }

# try_rollout LABEL VERSION ERRORS SECONDS [KILL_AFTER] - has servers of this version
# started and an order written, under load; kills the allocator so many seconds later
try_rollout() {
    local label=$1 version=$2 s=$4 since state="" ended=0 callers daemons=() i
    shift
    for i in $(seq "$GW_DAEMONS"); do rig_is_alive "d$i" && daemons+=("$(gw_caller "$i")"); done
    "$RIG_BUILD/standin-callers" 200 $((s + 6)) /safe/1 "$version" "${daemons[@]}" > "$RIG_DIR/result-$version" &
    callers=$!
    sleep 1
    start_servers "$version" "$2" "${new[@]}"
    sleep 1
    since=$(date +%s%3N)
    curl -sf -X PUT -d "{\"metadata\":{\"name\":\"s\"},\"spec\":{\"service\":\"s\",\"target\":\"$version\",\"durationS\":$s}}" "$(get_rollouts)/s" > /dev/null ||
        curl -sf -X POST -d "{\"metadata\":{\"name\":\"s\"},\"spec\":{\"service\":\"s\",\"target\":\"$version\",\"durationS\":$s}}" "$(get_rollouts)" > /dev/null
    [ -z "${4:-}" ] || { sleep "$4"; rig_kill "$(get_allocator)" KILL; }
    while [ $(($(date +%s%3N) - since)) -lt $((s * 1000 + 1500)) ]; do
        state=$(get_state)
        case $state in done | rolled_back) ended=$(($(date +%s%3N) - since)); break ;; esac
        sleep 0.05
    done
    [ "$state" != done ] || for i in "${old[@]}"; do rig_kill "r$i" KILL; done
    wait $callers
    read -r own all last < <(count_runs "$version" "$since" $((since + s * 1000)))
    echo "$label: $state after $ended ms, $own of $all sent there, the last one after $((last - since)) ms; $(cat "$RIG_DIR/result-$version")" >&2
    echo "$label: $state $([ "$ended" -le $((s * 1000)) ] && echo "in time" || echo late), $([ "$state" = done ] || [ $((own * 10)) -le $((all + 500)) ] && echo "within the bound" || echo "too many sent there")"
}

old=(2 4 6) new=(8 10 12)
try_rollout "good" v2 0 8
old=(8 10 12) new=(14 16 18)
try_rollout "bad" v3 40 8
for n in "${new[@]}"; do rig_kill "r$n" KILL; done
new=(20 22 24)
try_rollout "bad, allocator killed" v4 40 8 0.3
for n in "${new[@]}"; do rig_kill "r$n" KILL; done
new=(26 28 30)
try_rollout "good, allocator killed" v5 0 10 3
