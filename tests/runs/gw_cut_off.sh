# Some daemons are cut off from all backend servers, while callers, the store and the
# other daemons reach them. From 3 s after the cut on their callers are served at the
# first try as those of the others are, and no request that may run once runs twice.
gw_try_cut reset safe 1 2
gw_try_cut reset once 3 4 5
gw_try_cut hang safe 1 2
gw_try_cut hang stream 1 2 3 4
gw_try_cut new once 5 6
awk '$5 == "ran" && $1 ~ /^once/ {
        if ($1 in first) { n++; print first[$1] ", " $0 > "/dev/stderr" }
        first[$1] = $0 }
    END { print n + 0, "ran twice" }' "$RIG_DIR/arrivals"
