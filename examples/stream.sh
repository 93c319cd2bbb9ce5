#!/usr/bin/env bash
# stream.sh - Requests a streamed completion with an id. Run it while `make rig`
# runs.
entry=${1:-127.0.0.1:18000}
curl -sN "http://$entry/v1/completions" -H 'X-Team: load' -H 'X-Tier: 0' \
    -H "Idempotency-Key: stream-$$" \
    -d '{"model":"draft","prompt":"hello there","max_tokens":8,"stream":true}'
