#!/usr/bin/env bash
# build.sh - Builds the stand-ins that the scripts of this folder start, into build/.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/standin-store build/standin-runner
flags=$(pkg-config --cflags glib-2.0 jansson libmicrohttpd libcurl libxxhash)
libs=$(pkg-config --libs glib-2.0 jansson libmicrohttpd libcurl libxxhash)
for name in server store_view reader; do
    # shellcheck disable=SC2086
    cc -std=c11 -D_GNU_SOURCE -Wall -Wextra -O2 -g -Isrc -Itests/standins $flags "review/standins/$name.c" \
        tests/standins/common.c src/str.c $libs -lpthread -o "build/review-${name//_/-}"
done
