# Servers of two versions serve side by side; what they write doesn't fit together.
# Streams that break off go on at the version that began them, within one answer, and
# where their callers take them up at the next daemon.
gw_change_versions v2 7 9 11

# print_versions - reads lines with the versions that one stream's events came from in
# the second field, and its end in the last one
print_versions() {
    awk '{ n++; mixed += $2 ~ /[+]/; whole += $NF == "whole" }
        END { print (mixed == 0 ? "no stream of two versions" : mixed " of " n " streams of two versions") ", " (whole >= 0.9 * n ? "whole" : whole " of " n " whole") }'
}

# Servers break off a third of the streams.
gw_wait_for_slack
for n in 1 3 5 7 9 11; do gw_set_switches "$(gw_runner "$n")" cut=33; done
for i in $(seq 40); do gw_take_up $((i % 4 + 1)) "cut-$i" 100 8 & sleep 0.03; done > "$RIG_DIR/cut"
wait
for n in 1 3 5 7 9 11; do gw_set_switches "$(gw_runner "$n")" cut=0; done
echo "broken off by servers: $(print_versions < "$RIG_DIR/cut")"

# Callers leave and take their streams up elsewhere.
for i in $(seq 60); do gw_take_up $((i % 4 + 1)) "left-$i" 100 0.6 & sleep 0.06; done > "$RIG_DIR/left"
wait
echo "taken up by callers: $(print_versions < "$RIG_DIR/left")"
