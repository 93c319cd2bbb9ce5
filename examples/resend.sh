#!/usr/bin/env bash
# resend.sh - Sends the same non-idempotent request twice, through two entries:
# it runs once, and the second answer says so. Run it while `make rig` runs.
first=${1:-127.0.0.1:18000}
second=${2:-127.0.0.2:18000}
key=order-$$
for entry in "$first" "$second"; do
    curl -s -X POST "http://$entry/records/orders" -H "Idempotency-Key: $key" -d 'one van'
    echo
done
