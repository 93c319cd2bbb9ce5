#!/usr/bin/env bash
# build-2.sh - Builds the stand-ins that the scripts review/6 to review/10 start. The
# daemon itself is built by the deploy file (make -s -j8 deploy-build).
set -eu
cd "$(dirname "$0")/.."
make -s -j4 build/standin-store build/standin-runner build/soak-proxy
