# lib-3.sh - Starts a small deployment on loopback, with the settings that
# deploy/settings.ini gives on the machines of the small site files. To be
# sourced by review/N/run.sh, which sets CASE_DIR and RECORD; TROUBLE=0 there plays it
# without the disruption.
#
# Exits of run.sh: 1 the rule was broken, 0 it held, 2 the case couldn't run.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
TROUBLE=${TROUBLE:-1}
R3_DAEMONS=${R3_DAEMONS:-3}
R3_TTL_MS=${R3_TTL_MS:-3600} # an entry lasts three ping intervals
R3_MEMORY_MB=260
R3_DIR=$(mktemp -d)
: > "$R3_DIR/pids"
declare -A R3_PID=()

r3_note() { echo "$(date +%s.%3N) $*" | tee -a "$RECORD"; }
r3_fail() { r3_note "could not run: ${*//$R3_DIR/DIR}"; exit 2; }

# r3_get_start PID - prints when a process started, in clock ticks since boot
r3_get_start() {
    local stat
    { stat=$(< "/proc/$1/stat"); } 2> /dev/null || return 0
    set -- ${stat##*) }
    echo "${20}"
}
r3_stop() {
    local pid start
    rm -f "$R3_DIR/watching"
    while read -r pid start; do
        [ "$(r3_get_start "$pid")" = "$start" ] && kill -KILL "$pid" 2> /dev/null
    done < "$R3_DIR/pids"
    [ -n "${R3_KEEP:-}" ] && echo "kept $R3_DIR" || rm -rf "$R3_DIR"
}
trap r3_stop EXIT

# A block of ports that nothing listens on, below those that the kernel gives to clients.
r3_choose_port() {
    local port hex used
    for _ in $(seq 50); do
        port=$((12000 + RANDOM % 180 * 100)) used=0
        while read -r _ local_address _ state _; do
            [ "$state" = 0A ] || continue
            hex=$((16#${local_address##*:}))
            [ "$hex" -ge "$port" ] && [ "$hex" -lt $((port + 60)) ] && used=1
        done < <(tail -n +2 /proc/net/tcp)
        [ $used = 1 ] || { echo "$port"; return; }
    done
}
R3_PORT=${R3_PORT:-$(r3_choose_port)}
[ -n "$R3_PORT" ] || r3_fail "no free ports"
[ -x target/pearstaird ] || r3_fail "target/pearstaird is missing (make deploy-build)"
[ -x build/review-3/server3 ] && [ -x build/standin-store ] || r3_fail "stand-ins are missing (review/build-3.sh)"

r3_store() { echo "127.0.0.1:$((R3_PORT + 10))"; }
r3_server() { echo "127.0.0.1:$((R3_PORT + 20 + $1))"; }
r3_caller() { echo "127.0.0.$1:$R3_PORT"; }

# r3_start NAME COMMAND... - starts a process
r3_start() {
    local name=$1
    shift
    "$@" >> "$R3_DIR/$name.log" 2>&1 &
    R3_PID[$name]=$!
    echo "$! $(r3_get_start $!)" >> "$R3_DIR/pids"
    disown $!
}
r3_kill() { kill "-$2" "${R3_PID[$1]}" 2> /dev/null; }
r3_is_alive() { kill -0 "${R3_PID[$1]}" 2> /dev/null; }

# r3_wait SECONDS COMMAND... - waits until a command succeeds
r3_wait() {
    local end=$(($(date +%s) + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$(date +%s)" -lt "$end" ] || r3_fail "waited in vain: $*"
        sleep 0.05
    done
}

# r3_write_settings N FIRST_START - as deploy/settings.ini is filled in
r3_write_settings() {
    cat > "$R3_DIR/d$1.ini" <<END
[daemon]
mode = gateway
name = front-$1
domain = z$1

[listen]
caller = $(r3_caller "$1")
ready = 127.0.0.$1:$((R3_PORT + 3))
directory = 127.0.0.$1:$((R3_PORT + 4))
peer = 127.0.0.$1:$((R3_PORT + 2))
admin = 127.0.0.$1:$((R3_PORT + 1))
forward = 127.0.0.$1:$((R3_PORT + 5))

[admin]
token = unused-in-gateway-mode

[platform]
address = ${R3_STORE_SEEN:-$(r3_store)}

[gateway]
revoke_ms = 5000
grace_s = 8
retry_ratio = 0.2
retry_window = 10
retry_slack = 56
quota_window = 8
quota_overage = 0.1
quota_slack = 140000
$([ "$2" = true ] && echo "first_start = true")
memory_mb = $R3_MEMORY_MB
address_sample = 8
learned_limits = true
team_shares = true
cpu_share = 0.25
END
}

# r3_start_daemon N [FIRST_START]
r3_start_daemon() {
    r3_write_settings "$1" "${2:-false}"
    r3_start "d$1" target/pearstaird --settings "$R3_DIR/d$1.ini"
}
r3_is_ready() { curl -sf -m 1 "http://127.0.0.$1:$((R3_PORT + 3))/pearstair/ready"; }
r3_lists_all() { [ "$(curl -s -m 1 "http://127.0.0.$1:$((R3_PORT + 4))/pearstair/resolve?name=a.example&region=r&zone=z$1" | jq '.addresses | length')" = "$R3_DAEMONS" ]; }

# r3_print_config VERSION - kinds, limits and times as in the small site files
r3_print_config() {
    cat <<END
{"metadata":{"name":"main"},"spec":{"version":$1,"routes":[
 {"name":"draft","host":"a.example","pathPrefix":"/stream-draft/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"gapTargetMs":200,"priority":0,"service":"m","maxAttempts":2,"public":false,"sticky":true,"resumable":true},
 {"name":"query","host":"a.example","pathPrefix":"/stream-query/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":250,"gapTargetMs":200,"priority":1,"service":"m","maxAttempts":1,"public":false,"sticky":true,"resumable":false},
 {"name":"ack","host":"a.example","pathPrefix":"/ack/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"s","maxAttempts":1,"public":false,"sticky":false},
 {"name":"status","host":"a.example","pathPrefix":"/status/","kind":"safe","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"s","maxAttempts":2,"public":false,"sticky":false}],
 "services":[{"name":"s","healthPath":"/health","maxConns":110},{"name":"m","healthPath":"/health","maxConns":500,"engine":{"slots":19,"kvTokens":1081128,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"team-1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":327624,"burst":327624}]}}
END
}

# r3_start_store - the project's stand-in, with the first manifest
r3_start_store() {
    r3_start store build/standin-store "$(r3_store)"
    r3_wait 5 curl -sf "http://$(r3_store)/counts"
    r3_switch "registration_ttl_ms=$R3_TTL_MS"
    r3_print_config 5 | curl -sf -X POST -d @- "http://$(r3_store)/pearstair/objects/config" > /dev/null || r3_fail "no manifest"
}
r3_switch() { curl -sf -X POST "http://$(r3_store)/switch?$1" > /dev/null; }

# r3_start_server N SERVICE SLOTS - the review's stand-in for a server, by name sN
r3_start_server() {
    r3_start "s$1" build/review-3/server3 "$(r3_server "$1")" "$(r3_store)" "s$1" "$2" "$3" "$R3_DIR/ran" 1200
}

# r3_start_daemons - starts them for the first time, and waits until they serve
r3_start_daemons() {
    local n
    for n in $(seq "$R3_DAEMONS"); do r3_start_daemon "$n" true; done
    for n in $(seq "$R3_DAEMONS"); do
        r3_wait 15 r3_is_ready "$n"
        r3_wait 15 r3_lists_all "$n"
    done
    sleep 1.5
}

# r3_send N PATH ID TIME_LIMIT_MS [CURL-ARGS...] - sends a request to daemon N; prints the
# status (000: the channel was closed without an answer) and, for a stream, "cut" if it
# doesn't end
r3_send() {
    local n=$1 path=$2 id=$3 limit=$4
    shift 4
    curl -sN -m $((limit / 1000 + 1)) -o /dev/null -w '%{http_code}' -X POST -d "body of $id" -H 'Host: a.example' -H "Request-Id: $id" \
        -H 'Authorization: Bearer key-1' -H "Deadline-Ms: $limit" "$@" "http://$(r3_caller "$n")$path" || echo " cut"
}
