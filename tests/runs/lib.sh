# lib.sh - Helpers of the process-level runs; sourced after rig.sh.

# send_prompt N CURL-ARGS... - sends a model request to daemon N; prints the
# response's body and, on the last line, its status (input of print_outcome)
send_prompt() {
    local daemon=$1
    shift
    curl -s -m 60 -w '\n%{http_code}' "http://$(rig_caller "$daemon")/v1/completions" "$@"
}

# print_outcome - reads the output of send_prompt or send_note; prints the
# status and, unless it is 200, the error's code and whether the request ran
print_outcome() {
    local text status body
    text=$(cat)
    status=${text##*$'\n'}
    body=${text%$'\n'*}
    if [ "$status" = 200 ]; then
        echo "200"
    else
        echo "$status $(jq -r '"\(.error.code) ran \(.error.ran // "-")"' <<< "$body" 2>/dev/null)"
    fi
}

# print_prompt_body TEXT TOKENS [STREAM] - prints the body of a model request;
# TOKENS: the most output tokens; STREAM: true or false, the default
print_prompt_body() { echo "{\"model\":\"draft\",\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":${3:-false}}"; }

# send_note N KEY [CURL-ARGS...] - sends a request of the plain service, not
# idempotent and with KEY as its id, to daemon N; prints as send_prompt does
send_note() {
    local daemon=$1 key=$2
    shift 2
    curl -s -m 60 -w '\n%{http_code}' -X POST -d "$key" -H "Idempotency-Key: $key" "$@" \
        "http://$(rig_caller "$daemon")/records/note"
}

# count_engine_runs - prints how many dispatches reached the engines
count_engine_runs() {
    local sum=0 i
    for i in $(seq "$RIG_ENGINES"); do
        sum=$((sum + $(curl -s "http://$(rig_engine "$i")/counts" | jq '.runs // 0' || echo 0)))
    done
    echo "$sum"
}

# get_most_service_runs - prints how often the plain services ran the id
# that they ran most often
get_most_service_runs() {
    local i
    for i in $(seq "$RIG_SERVICES"); do
        curl -s "http://$(rig_service "$i")/counts" | jq '[.runs[]] | max // 0'
    done | sort -n | tail -1
}

# print_load_errors FILE - prints from a pearstair-load output, summed over the
# tiers: cut, crossed and doubled answers, and lost requests
print_load_errors() {
    awk '/^ +[0-9]+ +[0-9]+ +[0-9.]+ / { good += $4; late += $5; refused += $6; failed += $7; cut += $8; crossed += $9; doubled += $10; lost += $11 }
         END { printf "cut %d crossed %d doubled %d lost %d\n", cut, crossed, doubled, lost }' "$1"
}
