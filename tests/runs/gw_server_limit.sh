# A backend server names a limit of 2 requests a second to three daemons under load:
# it gets no more than that over all of them, the others serve the rest. Then all
# servers of the service name 4 a second each: they get nearly that, and the rest is
# refused with a Retry-After. Without the header all is served again.
named_ms=$(date +%s%3N)
gw_set_switches "$(gw_runner 2)" limit=2
gw_load 9 one 1 1 2 2 3 3
tests/check_limits "$RIG_DIR/arrivals" r2 2 "$named_ms" >&2 && echo "limit of one server kept"
grep -qv '^200 ok' "$RIG_DIR/answers-one" || echo "all served"

named_ms=$(date +%s%3N)
for n in 2 4 6; do gw_set_switches "$(gw_runner "$n")" limit=4; done
(sleep 4; for i in $(seq 30); do
    curl -s -D - -o /dev/null -H 'Host: a.example' -H "Request-Id: header-$i" -H 'Deadline-Ms: 3000' "http://$(gw_caller 1)/open/1"
done > "$RIG_DIR/headers") &
asking=$!
gw_load 9 all 1 1 2 2 3 3
wait "$asking"
for n in 2 4 6; do
    tests/check_limits "$RIG_DIR/arrivals" "r$n" 4 "$named_ms" > "$RIG_DIR/checked" && echo "limit of r$n kept"
    cat "$RIG_DIR/checked" >&2
    awk '{ if ($(NF - 2) >= 3.2) print "and used" }' "$RIG_DIR/checked"
done
grep -v '^200 ok' "$RIG_DIR/answers-all" | cut -d' ' -f1 | sort -u
awk '/^HTTP.* 503/ { n++ } tolower($1) == "retry-after:" { n-- } END { print n == 0 ? "each with Retry-After" : n " without" }' "$RIG_DIR/headers"

for n in 2 4 6; do gw_set_switches "$(gw_runner "$n")" limit=none; done
sleep 2 # until each has been asked
gw_load 3 none 1 1 2 2 3 3
grep -qv '^200 ok' "$RIG_DIR/answers-none" || echo "all served again"
