# Some daemons are cut off from all backend servers, while callers, the store and the
# other daemons reach them. From 3 s after the cut on their callers are served at the
# first try as those of the others are, and no request that may run once runs twice.
# try_cut HOW KIND DAEMON...
try_cut() {
    local cut_ms how=$1 kind=$2
    shift 2
    : > "$RIG_DIR/tries"
    cut_ms=$(date +%s%3N)
    gw_cut_off "$how" "$@"
    gw_try_load 6 "$kind" 1 2 3 4 5 6
    gw_cut_off clear "$@"
    echo "$how, $kind, $# of 6: $(gw_judge_tries $((cut_ms + 3000)) "${*/#/d}")"
    gw_try_load 2 safe 1 2 3 4 5 6
}

try_cut reset safe 1 2
try_cut reset once 3 4 5
try_cut hang safe 1 2
try_cut hang stream 1 2 3 4
try_cut new once 5 6
awk '$5 == "ran" && $1 ~ /^once/ {
        if ($1 in first) { n++; print first[$1] ", " $0 > "/dev/stderr" }
        first[$1] = $0 }
    END { print n + 0, "ran twice" }' "$RIG_DIR/arrivals"
