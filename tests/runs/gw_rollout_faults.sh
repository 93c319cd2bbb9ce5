# Roll-outs while the store, the allocator or all daemons are away for a while: bad
# versions get no more requests, whether or not the status can be written, and the time
# limit and what was sent are known after a start of all daemons.
get_allocator() { grep -h '"sharing.allocator"' "$RIG_DIR/d1.log" | tail -1 | jq -r .name; }
get_rollouts() { echo "http://$(gw_store)/pearstair/objects/rollouts"; }
get_state() { curl -s "$(get_rollouts)/s" | jq -r '.status.state // "none"'; }
is_state() { [ "$(get_state)" = "$1" ]; }
has_decided() { grep -qh '"rollout.step".*"target":"'"$1"'".*"step":"rolled_back"' "$RIG_DIR"/d*.log; }
count_runs() { awk -v version="-$1" -v from="$2" '$4 == "s" && $5 == "ran" && $2 >= from && index($3, version) { n++ } END { print n + 0 }' "$RIG_DIR/arrivals"; }

# start_rollout VERSION ERRORS SECONDS N... - starts servers of this version and writes
# the order
start_rollout() {
    local n version=$1 errors=$2 s=$3
    shift 3
    for n in "$@"; do
        GW_SERVER_VERSION[$n]=$version
        gw_start_runner "$n" "r$n-$version"
        rig_wait_until 5 curl -sf "http://$(gw_runner "$n")/counts"
        gw_set_switches "$(gw_runner "$n")" "errors=$errors"
    done
    sleep 1
    curl -s -X DELETE "$(get_rollouts)/s" > /dev/null
    curl -sf -X POST -d "{\"metadata\":{\"name\":\"s\"},\"spec\":{\"service\":\"s\",\"target\":\"$version\",\"durationS\":$s}}" "$(get_rollouts)" > /dev/null
}

callers=()
for i in 1 2 3; do callers+=("$(gw_caller "$i")"); done
"$RIG_BUILD/standin-callers" 200 60 /safe/1 load "${callers[@]}" > "$RIG_DIR/result" &
load=$!

# The store is away when a bad version shows.
start_rollout v2 40 12 8 10 12
sleep 0.25
gw_set_switches "$(gw_store)" down=1
rig_wait_until 8 has_decided v2 && echo "store down: decided"
sleep 0.5
since=$(date +%s%3N)
sleep 2
echo "store down: $(count_runs v2 "$since") requests after that"
gw_set_switches "$(gw_store)" down=0
rig_wait_until 5 is_state rolled_back && echo "store back: the status says so"
for n in 8 10 12; do rig_kill "r$n" KILL; done

# The allocator stands still for a moment, and wakes when another one has taken over.
start_rollout v3 0 10 14 16 18
sleep 3
paused=$(get_allocator)
rig_kill "$paused" STOP
sleep 1.6
rig_kill "$paused" CONT
rig_wait_until 8 is_state done && echo "allocator paused: done"
for n in 2 4 6; do rig_kill "r$n" KILL; done
sleep 3

# All daemons are started anew, and the version turns bad.
start_rollout v4 0 14 20 22 24
sent_ms=$(date +%s%3N)
sleep 3
for i in 1 2 3; do rig_kill "d$i" KILL; done
for n in 20 22 24; do gw_set_switches "$(gw_runner "$n")" errors=40; done
for i in 1 2 3; do rig_wait_exit "d$i" 2; done
for i in 1 2 3; do gw_start_daemon "$i"; done
rig_wait_until 15 is_state rolled_back && echo "all daemons started anew: rolled back"
[ $(($(date +%s%3N) - sent_ms)) -le 14000 ] && echo "in time"
[ "$(count_runs v4 "$sent_ms")" -le 200 ] && echo "few requests there"
grep -qh '"rollout.start".*"target":"v4".*"age_ms":[3-9][0-9][0-9][0-9],' "$RIG_DIR"/d*.log && echo "the time since the order was known"
echo "v4: $(count_runs v4 "$sent_ms") after $(($(date +%s%3N) - sent_ms)) ms" >&2
kill "$load"
