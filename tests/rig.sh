# rig.sh - Starts a small deployment on loopback: daemons, stand-ins for the
# platform, model backend servers (engines) and plain services. To be sourced.
#
# RIG_DAEMONS, RIG_ENGINES, RIG_SERVICES, RIG_PORT (the lowest port), RIG_TIMING
# and RIG_LIMITS (settings of the daemons) and RIG_BUILD can be set beforehand.
# RIG_KEEP keeps the directory with settings and logs.

RIG_DAEMONS=${RIG_DAEMONS:-3}
RIG_ENGINES=${RIG_ENGINES:-3}
RIG_SERVICES=${RIG_SERVICES:-1}
RIG_PORT=${RIG_PORT:-18000}
RIG_TOKEN=rig-token-0001
RIG_BUILD=${RIG_BUILD:-build}
RIG_TIMING=${RIG_TIMING:-$'renew = 500ms\nlease = 2s\nheartbeat = 100ms\ntakeover = 800ms\nentries = 600ms'}
RIG_LIMITS=${RIG_LIMITS:-}
RIG_DIR=$(mktemp -d)
declare -gA RIG_PID=() RIG_STARTED=()
trap rig_stop EXIT

rig_platform() { echo "127.0.0.1:$((RIG_PORT + 500))"; }
rig_engine() { echo "127.0.0.1:$((RIG_PORT + 500 + $1))"; }
rig_service() { echo "127.0.0.1:$((RIG_PORT + 600 + $1))"; }
rig_caller() { echo "127.0.0.$1:$RIG_PORT"; }
rig_admin() { echo "127.0.0.$1:$((RIG_PORT + 1))"; }
rig_peer() { echo "127.0.0.$1:$((RIG_PORT + 2))"; }

# rig_start_process NAME COMMAND... - starts a process; its output goes to
# NAME.log, its process id to RIG_PID
rig_start_process() {
    local name=$1
    shift
    "$@" >> "$RIG_DIR/$name.log" 2>&1 &
    RIG_PID[$name]=$!
    rig_own $!
}

# rig_own PID - has the rig end this child process at its own end
rig_own() {
    RIG_STARTED[$1]=$(rig_get_start "$1")
    disown "$1"
}

# rig_get_start PID - prints when a process started, in clock ticks since boot; nothing if
# there is none
rig_get_start() {
    local stat
    { stat=$(< "/proc/$1/stat"); } 2> /dev/null || return 0
    set -- ${stat##*) }
    echo "${20}"
}

# rig_is_running PID - whether a process that the rig has started still runs. Ids of
# processes that have ended come again within a run, for processes of others.
rig_is_running() { [ -n "${RIG_STARTED[$1]}" ] && [ "$(rig_get_start "$1")" = "${RIG_STARTED[$1]}" ]; }
rig_is_alive() { rig_is_running "${RIG_PID[$1]}"; }

# rig_kill NAME SIGNAL - sends a signal to a process of the rig
rig_kill() { rig_is_alive "$1" && kill "-$2" "${RIG_PID[$1]}"; }

# rig_wait_exit NAME SECONDS - waits for a process to end; fails on timeout
rig_wait_exit() {
    for _ in $(seq $(($2 * 20))); do
        rig_is_alive "$1" || return 0
        sleep 0.05
    done
    return 1
}

rig_write_settings() {
    cat > "$RIG_DIR/d$1.ini" <<END
[daemon]
name = d$1
domain = zone-$1
[listen]
caller = $(rig_caller "$1")
admin = $(rig_admin "$1")
peer = $(rig_peer "$1")
[platform]
address = $(rig_platform)
[admin]
token = $RIG_TOKEN
[timing]
$RIG_TIMING
[limits]
$RIG_LIMITS
END
}

rig_print_servers() {
    local kind=$1 n=$2 prefix=$3 sep=""
    for i in $(seq "$n"); do
        echo "$sep{\"name\":\"$prefix$i\",\"address\":\"$(rig_"$kind" "$i")\",\"domain\":\"zone-$i\"}"
        sep=,
    done
}

rig_print_config() {
    cat <<END
{"tiers":[{"deadline_ms":20000},{"deadline_ms":40000},{"deadline_ms":60000}],
 "teams":[{"name":"load","weight":2}],
 "pools":[
  {"name":"draft","kind":"model","servers":[$(rig_print_servers engine "$RIG_ENGINES" e)]},
  {"name":"records","kind":"service","slots":32,"servers":[$(rig_print_servers service "$RIG_SERVICES" s)]}],
 "rules":[
  {"name":"forbidden","when":{"team":"blocked"},"then":{"refuse":"team is blocked"}},
  {"name":"drafts","when":{"model":"draft*"},"then":{"pool":"draft"}},
  {"name":"exact","when":{"path":"/exact","method":"GET"},"then":{"pool":"records"}},
  {"name":"records","when":{"path":"/records/*"},"then":{"pool":"records"}}]}
END
}

# rig_ctl N ARGS... - runs pearstairctl against daemon N
rig_ctl() {
    local daemon=$1
    shift
    "$RIG_BUILD/pearstairctl" -a "$(rig_admin "$daemon")" -t "$RIG_TOKEN" "$@"
}

# rig_wait_until SECONDS COMMAND... - runs a command until it succeeds; fails on
# timeout
rig_wait_until() {
    local tries=$(($1 * 20))
    shift
    for _ in $(seq "$tries"); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "timed out: $*" >&2
    return 1
}

rig_start_daemon() {
    rig_write_settings "$1"
    rig_start_process "d$1" "$RIG_BUILD/pearstaird" -s "$RIG_DIR/d$1.ini"
}

rig_start_engine() {
    local base=$((6 + 4 * $1))
    rig_start_process "e$1" "$RIG_BUILD/standin-engine" "$(rig_engine "$1")" "$base" 0.4 "$((10 - $1 % 8))"
}

# rig_serves N - whether daemon N has a configuration, knows all members, and
# knows an owner of each pool
rig_serves() {
    rig_ctl "$1" status --json | jq -e \
        '.config_version > 0 and (.members | length) >= '"$RIG_DAEMONS"' and ([.pools[] | select(.owner == "")] | length) == 0'
}

# rig_owner POOL [N] - prints the pool's owner as known by daemon N (default 1)
rig_owner() { rig_ctl "${2:-1}" status --json | jq -r '.pools[] | select(.pool == "'"$1"'") | .owner'; }

# rig_start - starts everything and waits until all daemons serve
rig_start() {
    rig_start_process platform "$RIG_BUILD/standin-platform" "$(rig_platform)"
    for i in $(seq "$RIG_ENGINES"); do rig_start_engine "$i"; done
    for i in $(seq "$RIG_SERVICES"); do
        rig_start_process "s$i" "$RIG_BUILD/standin-service" "$(rig_service "$i")"
    done
    rig_print_config > "$RIG_DIR/config.json"
    rig_wait_until 5 curl -sf "http://$(rig_platform)/counts"
    curl -sf -X PUT -H 'If-None-Match: *' --data-binary "@$RIG_DIR/config.json" \
        "http://$(rig_platform)/v1/objects/ps/config" > /dev/null
    for i in $(seq "$RIG_DAEMONS"); do rig_start_daemon "$i"; done
    for i in $(seq "$RIG_DAEMONS"); do rig_wait_until 15 rig_serves "$i"; done
}

rig_stop() {
    for pid in "${!RIG_STARTED[@]}"; do rig_is_running "$pid" && kill -CONT "$pid" && kill "$pid"; done
    sleep 0.3
    for pid in "${!RIG_STARTED[@]}"; do rig_is_running "$pid" && kill -KILL "$pid"; done
    [ -n "${RIG_KEEP:-}" ] || rm -rf "$RIG_DIR"
}

# rig_set_switches platform|engine|service N QUERY - sets a stand-in's faults
rig_set_switches() { curl -sf -X POST "http://$(rig_"$1" "$2")/switch?$3" > /dev/null; }
