#!/usr/bin/env bash
# leave.sh - Takes a backend server out of service and puts it back. Run it
# while `make rig` runs.
export PEARSTAIR_TOKEN=${PEARSTAIR_TOKEN:-rig-token-0001}
admin=${1:-127.0.0.1:18001}
build/pearstairctl -a "$admin" backend leave e1
build/pearstairctl -a "$admin" backends
build/pearstairctl -a "$admin" backend join e1
