# As gw_cut_off, where connections of cut daemons to the backend servers open but bring no
# answer of the servers: reset after opening, closed, reset when the request has been
# written, or answered by something else. What cut daemons lose is banned by no other one.
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

try_cut open safe 1 2
try_cut open once 3 4 5
try_cut request once 1 2
try_cut close stream 1 2
try_cut answer safe 3 4
awk '$5 == "ran" && $1 ~ /^once/ && runs[$1]++ { n++ } END { print n + 0, "ran twice" }' "$RIG_DIR/arrivals"
# d6 is never cut.
echo "bans at d6: $(grep -c '"content.banned"' "$RIG_DIR/d6.log")"
