# lib.sh - Starts a small deployment for a case: the store's and the servers' stand-ins, and
# the daemon as the deploy file starts it. To be sourced from the repository's root, with
# CASE, the case's folder, and RECORD, its file record.txt, set.
#
# Exit codes of a case: 1 the rule was broken, 0 it held, 2 the case couldn't run.

TROUBLE=${TROUBLE:-1}
RIG_BUILD=build
[ -x target/pearstaird ] && [ -x build/review-server ] && [ -x build/standin-runner ] ||
    { echo "build target/pearstaird and run review/build.sh first" >&2; exit 2; }

# review_is_free PORT - whether nothing listens at PORT, PORT + 1 to PORT + 5, PORT + 500 to
# PORT + 599
review_is_free() {
    awk -v port="$1" '$4 == "0A" {
            split($2, a, ":"); n = strtonum("0x" a[2]) - port
            if ((n >= 0 && n <= 5) || (n >= 500 && n <= 599)) busy = 1 }
        END { exit busy }' /proc/net/tcp
}
# mawk has no strtonum(): bash converts then
command -v gawk > /dev/null || review_is_free() {
    local local_address state n
    while read -r _ local_address _ state _; do
        [ "$state" = 0A ] || continue
        n=$((16#${local_address##*:} - $1))
        if { [ $n -ge 0 ] && [ $n -le 5 ]; } || { [ $n -ge 500 ] && [ $n -le 599 ]; }; then return 1; fi
    done < <(tail -n +2 /proc/net/tcp)
}
RIG_PORT=""
for _ in $(seq 50); do
    RIG_PORT=$((20000 + RANDOM % 11000))
    review_is_free "$RIG_PORT" && break
    RIG_PORT=""
done
[ -n "$RIG_PORT" ] || { echo "no free ports" >&2; exit 2; }

source tests/rig.sh
source tests/gateway_rig.sh
REVIEW_STORE=${REVIEW_STORE:-$(gw_store)}
: > "$RECORD"
review_now() { date +%s%3N; }
# review_note TEXT... - adds a line to the record, with the time
review_note() { echo "$(review_now) $*" >> "$RECORD"; }
# review_fail TEXT... - ends the case, which couldn't run
review_fail() { review_note "couldn't run: $*"; echo "couldn't run: $*" >&2; exit 2; }

# The template deploy/settings.ini, filled in with the bounds of the site anlagg-drift
gw_write_settings() {
    cat > "$RIG_DIR/d$1.ini" <<END
[daemon]
mode = gateway
name = front-$1
domain = z$1
[listen]
caller = $(gw_caller "$1")
ready = $(gw_ready "$1")
directory = $(gw_directory "$1")
peer = 127.0.0.$1:$((RIG_PORT + 2))
admin = $(gw_metrics "$1")
forward = 127.0.0.$1:$((RIG_PORT + 5))
[admin]
token = unused-in-gateway-mode
[platform]
address = $REVIEW_STORE
[gateway]
revoke_ms = 5000
grace_s = 8
retry_ratio = 0.2
retry_window = 10
retry_slack = 58
quota_window = 8
quota_overage = 0.1
quota_slack = 140000
${GW_FIRST_START:+first_start = true}
cpu_share = 0.25
END
}
gw_start_daemon() {
    gw_write_settings "$1"
    rig_start_process "d$1" target/pearstaird --settings "$RIG_DIR/d$1.ini"
}
review_lists_all() { [ "$(gw_addresses "$1" | wc -l)" = "$GW_DAEMONS" ]; }
review_is_up() { gw_is_ready "$1" && review_lists_all "$1"; }

# review_start_store - starts the store's stand-in with the configuration that
# review_print_config prints
review_start_store() {
    rig_start_process store build/standin-store "$(gw_store)"
    rig_wait_until 5 curl -sf "http://$(gw_store)/counts" || review_fail "the store doesn't answer"
    review_put_config POST
}
review_put_config() {
    local path=config
    [ "$1" = POST ] || path=config/main
    review_print_config | curl -sf -X "$1" -d @- "http://$(gw_store)/pearstair/objects/$path" > /dev/null ||
        review_fail "the store takes no configuration"
}
review_start_daemons() {
    local i
    for i in $(seq "$GW_DAEMONS"); do GW_FIRST_START=true gw_start_daemon "$i"; done
    for i in $(seq "$GW_DAEMONS"); do
        rig_wait_until 15 review_is_up "$i" || review_fail "daemon $i isn't ready"
    done
}
# review_send N METHOD PATH ID TIME_LIMIT_MS [CURL-ARGS...] - sends a request to daemon N;
# notes it and its answer, and prints the status; 000: the channel ended without an answer
review_send() {
    local n=$1 method=$2 path=$3 id=$4 limit=$5 text status stamp
    shift 5
    review_note "sent $id $method $path to front-$n"
    text=$(curl -s -i -m $((limit / 1000 + 2)) -X "$method" -H "Host: a.example" -H "Request-Id: $id" -H "Deadline-Ms: $limit" \
        -H "Authorization: Bearer key-1" "$@" "http://$(gw_caller "$n")$path" | tr -d '\r')
    status=$(awk 'NR == 1 { print $2 }' <<< "$text")
    stamp=$(awk -F': ' 'tolower($1) == "response-stamp" { print $2 }' <<< "$text")
    review_note "answered $id ${status:-000} stamp ${stamp:-none}, $(tail -1 <<< "$text")"
    echo "${status:-000}"
}
# review_send_retrying N METHOD PATH ID TIME_LIMIT_MS [CURL-ARGS...] - the same; as PROTOCOL says
# of requesters, it sends an unsafe request once more, under the id IDr and to the next daemon,
# after a promise that it hasn't run
review_send_retrying() {
    local n=$1 id=$4 status
    status=$(review_send "$@")
    case $status in
    408 | 421 | 429 | 503)
        sleep 0.4
        n=$((n % GW_DAEMONS + 1))
        review_send "$n" "$2" "$3" "${id}r" "${@:5}" > /dev/null
        ;;
    esac
}
