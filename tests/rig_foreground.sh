#!/usr/bin/env bash
# rig_foreground.sh - Starts a small deployment and keeps it until SIGINT or
# SIGTERM.
set -u
cd "$(dirname "$0")/.."
source tests/rig.sh

trap 'exit 0' INT TERM
rig_start
echo "platform  http://$(rig_platform)"
for i in $(seq "$RIG_DAEMONS"); do
    echo "daemon d$i callers http://$(rig_caller "$i") admin http://$(rig_admin "$i")"
done
for i in $(seq "$RIG_ENGINES"); do echo "engine e$i http://$(rig_engine "$i")"; done
for i in $(seq "$RIG_SERVICES"); do echo "service s$i http://$(rig_service "$i")"; done
echo "admin token $RIG_TOKEN; logs in $RIG_DIR; Ctrl-C stops everything"
while :; do sleep 1; done
