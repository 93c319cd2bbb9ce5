#!/usr/bin/env bash
# check.sh - Runs the test programs, the process runs (tests/runs) and one soak
# run; prints what failed and, on the last line, the counts.
#
# CHECK_CASES sets the number of cases of each property, CHECK_SEED their seed,
# CHECK_NO_RUNS leaves out process and soak runs. Failures of tests named in
# KNOWN-RED.txt ("test: NAME" lines) are printed and not counted. The logs of a failed
# process run are kept in failed/NAME of the build folder.
set -u
cd "$(dirname "$0")/.."
cases=${CHECK_CASES:-300}
seed=${CHECK_SEED:-1}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

is_known_red() { [ -f KNOWN-RED.txt ] && grep -qxF "test: $1" KNOWN-RED.txt; }

# count NAME OK - counts a test; OK is 1 if it passed
count() {
    local name=$1 ok=$2
    if [ "$ok" = 1 ]; then
        passed=$((passed + 1))
    elif is_known_red "$name"; then
        echo "KNOWN RED: $name"
    else
        failed=$((failed + 1))
        echo "FAILED: $name"
    fi
}

for binary in "${RIG_BUILD:-build}"/test_*; do
    case $binary in *.d | *.o) continue ;; esac
    log="$work/$(basename "$binary")"
    RC_PARAMS="seed=$seed max_success=$cases" "$binary" > "$log" 2>&1
    code=$?
    while read -r name; do count "$name" 1; done < <(sed -n 's/^\[       OK \] \([^ ]*\).*/\1/p' "$log")
    while read -r name; do count "$name" 0; done < <(sed -n 's/^\[  FAILED  \] \([^ ]*\) (.*/\1/p' "$log")
    if ! grep -q '^\[==========\].*ran' "$log"; then
        count "$(basename "$binary") (exit $code)" 0
    fi
    [ "$code" = 0 ] || grep -vE '^\[ (RUN|  OK)' "$log" | head -60
done

if [ -z "${CHECK_NO_RUNS:-}" ]; then
    names=()
    for script in tests/runs/*.sh; do
        name=$(basename "$script" .sh)
        [ "$name" = lib ] && continue
        # Ports are used again after 30 runs, to stay below the ephemeral range.
        port=$((10000 + ${#names[@]} % 30 * 620))
        names+=("$name")
        mkdir "$work/rig-$name"
        TMPDIR="$work/rig-$name" RIG_KEEP=1 timeout 240 tests/run_one.sh "$name" "$port" > "$work/$name.out" 2> "$work/$name.err" &
        [ "$(jobs -rp | wc -l)" -lt 4 ] || wait -n
    done
    wait
    for name in "${names[@]}"; do
        if diff -u "tests/runs/$name.expected" "$work/$name.out" > "$work/$name.diff" 2>&1; then
            count "runs/$name" 1
        else
            count "runs/$name" 0
            cat "$work/$name.diff" "$work/$name.err"
            kept="${RIG_BUILD:-build}/failed/$name"
            rm -rf "$kept" && mkdir -p "$kept"
            cp -r "$work/rig-$name"/* "$work/$name.out" "$work/$name.err" "$kept"
            echo "logs: $kept"
        fi
    done
fi

if [ -z "${CHECK_NO_RUNS:-}" ] && [ -x "${RIG_BUILD:-build}/soak-proxy" ]; then
    if SOAK_SECONDS=6 RIG_PORT=17000 SOAK_LOGS=${RIG_BUILD:-build}/soak timeout 120 soak/run 1 > "$work/soak.out" 2>&1; then
        count soak/seed-1 1
    else
        count soak/seed-1 0
        cat "$work/soak.out"
    fi
fi

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
