#!/usr/bin/env bash
# demo.sh - Starts a small deployment, sends 30 mixed requests, and prints their
# outcomes and how much prompt processing was wasted.
set -u
cd "$(dirname "$0")/.."
source tests/rig.sh

rig_start
echo "== members, owners and backend servers"
rig_ctl 1 status
rig_ctl 1 backends
echo "== 30 requests through GET /v1/entries"
"$RIG_BUILD/pearstair-load" --entries "$(rig_caller 1)" --requests 30 --rate 15
result=$?
echo "== wasted prefill"
processed=0
wasted=0
for i in $(seq "$RIG_ENGINES"); do
    counts=$(curl -sf "http://$(rig_engine "$i")/counts")
    processed=$((processed + $(jq .prefill_tokens <<< "$counts")))
    wasted=$((wasted + $(jq .wasted_tokens <<< "$counts")))
done
echo "$wasted of $processed prompt tokens were processed and discarded"
exit "$result"
