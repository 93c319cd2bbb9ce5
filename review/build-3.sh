#!/usr/bin/env bash
# build-3.sh - Builds the stand-ins that the scripts of review/11 to 15 start:
# the project's own in build/, those of this review in build/review-3/.
set -eu
cd "$(dirname "$0")/.."
make -s build/standin-store build/standin-runner
mkdir -p build/review-3
for name in server3 proxy3; do
    "${CC:-cc}" -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror -o "build/review-3/$name" "review/standins-3/$name.c" -lpthread
done
