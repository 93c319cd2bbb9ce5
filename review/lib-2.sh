# lib-2.sh - Starts a small deployment on loopback for the scripts review/6 to review/10:
# the store's stand-in, backend servers (runners) and daemons, each a process of its own.
# To be sourced by review/N/run.sh, which sets CASE to its folder, RECORD to its file
# record.txt, and DAEMONS to the number of daemons if there are more than three.
#
# Daemons run the deploy file's command with the settings that deploy/settings.ini has for
# the site anlagg-drift. Ports are free ones; all files lie in a temporary folder, but for
# record.txt. All processes that were started are ended at the end.

REPO=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
KEYS='"key-1","key-2"'
declare -A PIDS=()
cd "$REPO" || exit 2

end_all() {
    local pid
    exec 2> /dev/null # the shell names each process that it has killed
    for pid in "${PIDS[@]}"; do kill -CONT "$pid"; kill -KILL "$pid"; done
    wait
    rm -rf "$WORK"
}
trap end_all EXIT

now() { date +%s%3N; }
note() { echo "$(now) $*" >> "$RECORD"; }

# cannot_run REASON - ends the script with 2
cannot_run() {
    note "cannot run: $*"
    echo "cannot run: $*" >&2
    exit 2
}

# finish N BROKEN HELD - ends the script: with 1 and BROKEN if N is above 0, else with 0
finish() {
    local text=$3 code=0
    [ "$1" = 0 ] || { text=$2; code=1; }
    note "$text"
    echo "$text"
    exit "$code"
}

is_used() { (exec 3<> "/dev/tcp/$1/$2") 2> /dev/null; }

# Takes 40 ports in a row that nothing listens on, at the addresses of all daemons: above
# those of make check, below the ephemeral ones.
choose_ports() {
    local try i n free
    for try in $(seq 50); do
        BASE=$((31200 + RANDOM % 38 * 40))
        free=1
        for n in $(seq "${DAEMONS:-3}"); do
            for i in $(seq 0 39); do is_used "127.0.0.$n" $((BASE + i)) && free=0; done
        done
        [ "$free" = 0 ] || return 0
    done
    cannot_run "no free ports after $try tries"
}
choose_ports

STORE=127.0.0.1:$((BASE + 10))
server_address() { echo "127.0.0.1:$((BASE + 20 + $1))"; }
caller_address() { echo "127.0.0.$1:$BASE"; }
ready_address() { echo "127.0.0.$1:$((BASE + 3))"; }

# start NAME COMMAND... - starts a process
start() {
    local name=$1
    shift
    "$@" >> "$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
    note "start $name"
}

# stop NAME SIGNAL - sends a process a signal; waits for its end after KILL
stop() {
    note "SIG$2 to $1"
    kill "-$2" "${PIDS[$1]}"
    [ "$2" != KILL ] || wait "${PIDS[$1]}" 2> /dev/null
}

# wait_for SECONDS COMMAND... - waits until a command succeeds
wait_for() {
    local end=$(($(now) + $1 * 1000))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$(now)" -lt "$end" ] || return 1
        sleep 0.02
    done
}

# set_switches ADDRESS QUERY - sets a stand-in's faults
set_switches() {
    note "switch of ${1/$STORE/the store}: $2"
    curl -sf -m 5 -X POST "http://$1/switch?$2" > /dev/null || cannot_run "a stand-in takes no switch"
}

print_manifest() {
    cat <<END
{"metadata":{"name":"main"},"spec":{"version":$1,"routes":[
 {"name":"r-once","host":"a.example","pathPrefix":"/once/","kind":"unsafe","service":"s","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"maxAttempts":1,"public":false,"sticky":false,"resumable":false},
 {"name":"r-safe","host":"a.example","pathPrefix":"/safe/","kind":"safe","service":"s","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"maxAttempts":2,"public":false,"sticky":false,"resumable":false},
 {"name":"r-stream","host":"a.example","pathPrefix":"/stream/","kind":"streaming","service":"m","timeoutMs":15000,"targetLatencyMs":800,"gapTargetMs":300,"priority":0,"maxAttempts":2,"public":false,"sticky":true,"resumable":true}],
 "services":[{"name":"s","healthPath":"/health","maxConns":110},{"name":"m","healthPath":"/health","maxConns":370,"engine":{"slots":12,"kvTokens":708314,"stride":5}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"team-1","apiKeys":[$2],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":195210,"burst":195210}]}}
END
}

# put_manifest VERSION KEYS - the operator writes a manifest; sets ACKED to the time of the
# store's acknowledgement
put_manifest() {
    local method=PUT path=/main
    [ "${HAS_MANIFEST:-}" ] || { method=POST path=""; HAS_MANIFEST=1; }
    print_manifest "$1" "$2" | curl -sf -m 5 -X "$method" -d @- "http://$STORE/pearstair/objects/config$path" > /dev/null ||
        cannot_run "the store takes no manifest"
    ACKED=$(now)
    note "manifest $1 with the keys $2 acknowledged"
}

# start_store - starts the store; registrations last three heartbeats
start_store() {
    start store build/standin-store "$STORE"
    wait_for 5 curl -sf "http://$STORE/counts" || cannot_run "the store does not start"
    [ -z "${HEARTBEAT_MS:-}" ] || set_switches "$STORE" "registration_ttl_ms=$((3 * HEARTBEAT_MS))"
}

# start_server N SERVICE [VERSION [ID]] - starts backend server N, with the id rN if none is
# given
start_server() {
    start "r$1" build/standin-runner "$(server_address "$1")" "$STORE" "${4:-r$1}" "$2" 12 \
        "$(server_address "$1")" "$WORK/arrivals" "${HEARTBEAT_MS:-400}" "${3:-v1}"
    wait_for 5 curl -sf "http://$(server_address "$1")/counts" || cannot_run "server $1 does not start"
}

# start_daemon N FIRST - starts daemon N; FIRST: the whole system starts for the first time
start_daemon() {
    cat > "$WORK/d$1.ini" <<END
[daemon]
mode = gateway
name = front-$1
domain = hall-$1

[listen]
caller = $(caller_address "$1")
ready = $(ready_address "$1")
directory = 127.0.0.$1:$((BASE + 4))
peer = 127.0.0.$1:$((BASE + 5))
admin = 127.0.0.$1:$((BASE + 6))
forward = 127.0.0.$1:$((BASE + 7))

[admin]
token = unused-in-gateway-mode

[platform]
address = $STORE

[gateway]
revoke_ms = 5000
grace_s = 8
retry_ratio = 0.2
retry_window = 10
retry_slack = 58
quota_window = 8
quota_overage = 0.1
quota_slack = 140000
first_start = $2
memory_mb = 260
address_sample = 8
learned_limits = true
team_shares = true
cpu_share = 0.25
END
    start "d$1" target/pearstaird --settings "$WORK/d$1.ini"
}

is_ready() { curl -sf -m 1 "http://$(ready_address "$1")/pearstair/ready"; }

# wait_ready N... - waits until these daemons say that they are ready
wait_ready() {
    local n
    for n in "$@"; do
        wait_for 15 is_ready "$n" || cannot_run "daemon $n does not become ready"
        note "daemon $n says that it is ready"
    done
}

# send N PATH ID KEY [CURL-ARGS...] - sends daemon N a request; prints the answer's status,
# 000 for none
send() {
    local daemon=$1 path=$2 id=$3 key=$4 sent status
    shift 4
    sent=$(now)
    status=$(curl -s -m 5 -o "$WORK/answer" -w '%{http_code}' -H "Host: a.example" -H "Request-Id: $id" \
        -H "Authorization: Bearer $key" -H "Deadline-Ms: 3000" "$@" "http://$(caller_address "$daemon")$path")
    note "request $id with $key sent at $sent to daemon $daemon $path: $status"
    echo "$status"
}

# count_runs ID - prints how often servers have begun a request
count_runs() { awk -v id="$1" '$1 == id && $5 == "ran" { n++ } END { print n + 0 }' "$WORK/arrivals"; }

# is_alive NAME - whether a process that was started runs
is_alive() { kill -0 "${PIDS[$1]}" 2> /dev/null; }

# record_arrivals - adds what reached the servers to the record
record_arrivals() {
    note "what reached the servers (id, time, server, service, what it did, Deadline-Ms):"
    sed 's/^/    /' "$WORK/arrivals" >> "$RECORD"
}
