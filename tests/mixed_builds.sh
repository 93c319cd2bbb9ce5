#!/usr/bin/env bash
# mixed_builds.sh [PORT] - Runs daemons of an old build beside daemons of this
# one, in pools mode and in gateway mode, and replaces the old ones one by one.
#
# RIG_OLD_BUILD names the directory of the old build, RIG_BUILD that of this one
# (build). Checks that requests are served by each daemon, through a change of
# the pools' owners or of the allocator and a graceful shutdown, and that the
# new daemons use the settings, configuration, ledger and registrations that
# the old ones have written. Run by hand: CI has no old build.
cd "$(dirname "$0")/.."
: "${RIG_OLD_BUILD:?directory of the old build}"
RIG_PORT=${1:-14000}
n_failed=0

# check WHAT WANTED SEEN
check() {
    if [ "$2" = "$3" ]; then
        echo "ok      $1: $3"
    else
        echo "FAILED  $1: $3 instead of $2"
        n_failed=$((n_failed + 1))
    fi
}

# Numbers of the daemons that run the old build.
old_daemons="1 2 3"

is_old() { [[ " $old_daemons " == *" $1 "* ]]; }

# start_daemon N - starts daemon N on the settings that it had before
start_daemon() {
    local build=$RIG_BUILD
    is_old "$1" && build=$RIG_OLD_BUILD
    rig_start_process "d$1" "$build/pearstaird" -s "$RIG_DIR/d$1.ini"
}

# check_calls LABEL - sends a model call and a service call to each daemon
check_calls() {
    local i
    for i in 1 2 3; do
        check "$1: model call through d$i" 200 "$(send_prompt "$i" -d "$(print_prompt_body "$1 $i" 3)" | print_outcome)"
        check "$1: service call through d$i" 200 "$(send_note "$i" "$1-$i" | print_outcome)"
    done
}

# replace_daemon N - shuts daemon N of the old build down, starts the new one
replace_daemon() {
    rig_kill "d$1" TERM
    rig_wait_exit "d$1" 15 || echo "d$1 has not exited"
    old_daemons=${old_daemons/$1/}
    start_daemon "$1"
    rig_wait_until 15 "$serves" "$1"
}

run_pools_mode() {
    source tests/rig.sh
    source tests/runs/lib.sh
    rig_start_daemon() {
        rig_write_settings "$1"
        start_daemon "$1"
    }
    serves=rig_serves
    rig_start
    check_calls old
    rig_ctl 1 get -o "$RIG_DIR/config.json" 2> /dev/null
    version=$(rig_ctl 1 status --json | jq .config_version)
    jq '.teams[0].weight = 3' "$RIG_DIR/config.json" > "$RIG_DIR/edited.json"
    rig_ctl 1 apply "$RIG_DIR/edited.json" --version "$version" > /dev/null
    version=$(rig_ctl 1 status --json | jq .config_version)
    replace_daemon 2
    check_calls mixed
    for i in 1 2 3; do
        check "mixed: d$i knows a call of the old daemons" "409 already_done ran yes" "$(send_note "$i" old-1 | print_outcome)"
    done
    check "mixed: old tool, new daemon" "$version" "$("$RIG_OLD_BUILD/pearstairctl" -a "$(rig_admin 2)" -t "$RIG_TOKEN" status --json | jq .config_version)"
    check "mixed: new tool, old daemon" "$version" "$(rig_ctl 1 status --json | jq .config_version)"
    for pool in draft records; do
        owner=$(rig_owner $pool 2)
        other=1
        [ "$owner" = d1 ] && other=3
        rig_kill "$owner" KILL
        has_moved() { [ -n "$(rig_owner $pool "$other")" ] && [ "$(rig_owner $pool "$other")" != "$owner" ]; }
        rig_wait_until 15 has_moved
        check "mixed: $pool has another owner" yes "$(has_moved && echo yes)"
        check "mixed: a call after the change of owner" 200 "$(send_prompt "$other" -d "$(print_prompt_body "$pool x" 3)" | print_outcome)"
        start_daemon "${owner#d}"
        rig_wait_until 15 rig_serves "${owner#d}"
    done
    rig_ctl 2 get -o "$RIG_DIR/config.json" 2> /dev/null
    jq '.teams[0].weight = 7' "$RIG_DIR/config.json" > "$RIG_DIR/edited.json"
    rig_ctl 2 apply "$RIG_DIR/edited.json" --version "$version" > /dev/null
    has_edit() { [ "$(rig_ctl "$1" get 2> /dev/null | jq '.teams[0].weight')" = 7 ]; }
    for i in 1 2 3; do
        rig_wait_until 5 has_edit "$i"
        check "mixed: the edit is in force at d$i" yes "$(has_edit "$i" && echo yes)"
    done
    "$RIG_BUILD/pearstair-load" --entries "$(rig_caller 1)" -n 200 -r 40 -q > "$RIG_DIR/load" 2>&1 &
    load=$!
    sleep 1
    replace_daemon 3
    wait $load
    check "mixed: an old daemon shuts down under load" "cut 0 crossed 0 doubled 0 lost 0" "$(print_load_errors "$RIG_DIR/load")"
    replace_daemon 1
    check_calls new
    for i in 1 2 3; do
        # Daemons were killed, so how the call ended may be unknown; the ledger
        # still keeps it from running again.
        check "new: d$i refuses a call of the old daemons" 409 "$(send_note "$i" old-1 | print_outcome | cut -d' ' -f1)"
        check "new: the edit is in force at d$i" yes "$(has_edit "$i" && echo yes)"
    done
    check "most runs of one id" 1 "$(get_most_service_runs)"
}

# check_gateway LABEL - sends a call and 20 streams to each daemon
check_gateway() {
    local i
    for i in 1 2 3; do
        check "$1: call through d$i" "200 ok" "$(gw_send_request "$i" /safe/x "$1-$i")"
        check "$1: whole streams through d$i" 20 "$(count_whole "$i" "$1-s$i")"
    done
}

# count_whole N PREFIX - prints how many of 20 streams through daemon N are whole
count_whole() { for i in $(seq 20); do gw_send_stream "$1" "$2-$i" 4; done | grep -c '200 whole'; }

# get_allocator N - prints the daemon from which daemon N got its last grants
get_allocator() { grep -h '"sharing.granted"' "$RIG_DIR/d$1.log" | tail -1 | jq -r .allocator; }

# kill_allocator LABEL - kills the allocator, waits for another, starts it again
kill_allocator() {
    local number other
    number=$(grep -h '"sharing.allocator"' "$RIG_DIR/d1.log" | tail -1 | jq -r .name)
    number=${number#d}
    other=$((number % 3 + 1))
    is_old "$number" && echo "        the allocator d$number is of the old build"
    rig_kill "d$number" KILL
    has_changed() { [ "$(get_allocator "$other")" != "d$number" ]; }
    rig_wait_until 6 has_changed
    check "$1: another allocator" yes "$(has_changed && echo yes)"
    check "$1: whole streams after the change" 20 "$(count_whole "$other" "${1/, /-}")"
    killed=$number
}

run_gateway_mode() {
    source tests/rig.sh
    source tests/gateway_rig.sh
    # Builds before these settings refuse them.
    GW_NO_FORWARD=1 GW_NO_FIRST_START=1
    gw_start_daemon() {
        gw_write_settings "$1"
        start_daemon "$1"
    }
    GW_SLOTS=32
    serves=gw_serves
    gw_start
    check_gateway old
    replace_daemon 2
    check_gateway mixed
    # The first allocator starts again with the other build.
    kill_allocator "mixed, first"
    if is_old "$killed"; then
        old_daemons=${old_daemons/$killed/}
    else
        old_daemons="$old_daemons $killed"
    fi
    start_daemon "$killed"
    rig_wait_until 15 gw_serves "$killed"
    sleep 1
    check_gateway swapped
    kill_allocator "mixed, second"
    start_daemon "$killed"
    rig_wait_until 15 gw_serves "$killed"
    gw_put_config 6
    is_applied() { [ "$(grep -l '"config.apply","version":6' "$RIG_DIR"/d?.log | wc -l)" = 3 ]; }
    rig_wait_until 6 is_applied
    check "mixed: a new configuration at all daemons" yes "$(is_applied && echo yes)"
    leaving=1
    is_old 3 && leaving=3
    for i in $(seq 40); do
        gw_send_stream $leaving "leave-$i" 25 &
        sleep 0.05
    done > "$RIG_DIR/streams" &
    load=$!
    sleep 0.8
    rig_kill d$leaving TERM
    is_absent() { ! gw_addresses 2 | grep -q "$(gw_caller $leaving)"; }
    rig_wait_until 1 is_absent
    check "mixed: a leaving daemon is absent within a second" yes "$(is_absent && echo yes)"
    rig_wait_exit d$leaving 8
    wait $load
    sleep 2 # streams that outlive the loop
    check "mixed: streams cut by the shutdown" 0 "$(grep -cE 'torn|short' "$RIG_DIR/streams")"
    old_daemons=""
    start_daemon $leaving
    rig_wait_until 15 gw_serves $leaving
    for i in 1 2 3; do
        [ $i = $leaving ] || replace_daemon $i
    done
    check_gateway new
    check "malformed messages and objects" 0 "$(cat "$RIG_DIR"/d?.log | grep -c '"\(sharing\|store\|config\).malformed"')"
}

# Each mode has a shell of its own, whose rig ends its processes at exit.
(run_pools_mode; exit $((n_failed > 0))) || n_failed=1
(run_gateway_mode; exit $((n_failed > 0))) || n_failed=1
[ $n_failed = 0 ] && echo "all checks passed"
exit $n_failed
