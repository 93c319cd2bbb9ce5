# As gw_cut_off, where connections of cut daemons to the backend servers open but bring no
# answer of the servers: reset after opening, closed, reset when the request has been
# written, or answered by something else. What cut daemons lose is banned by no other one.
gw_try_cut open safe 1 2
gw_try_cut open once 3 4 5
gw_try_cut request once 1 2
gw_try_cut close stream 1 2
gw_try_cut answer safe 3 4
awk '$5 == "ran" && $1 ~ /^once/ && runs[$1]++ { n++ } END { print n + 0, "ran twice" }' "$RIG_DIR/arrivals"
# d6 is never cut.
echo "bans at d6: $(grep -c '"content.banned"' "$RIG_DIR/d6.log")"
