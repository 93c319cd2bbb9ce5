# A server turns away several requests of one daemon at a time: with the first answer it
# asks for a pause of 3 s, with the others for shorter ones. None ends the first: at most
# two requests of the daemon reach the server from half a second after it on.
gw_wait_for_slack
gw_set_link 1 "delay 100"
gw_set_switches "$(gw_runner 2)" "reject=1&retry_after=3&later_retry_after=0.2"
gw_load 4 short 1 1 1 1 1 1 1 1
gw_set_switches "$(gw_runner 2)" "reject=0&retry_after=none"
awk '$3 == "r2" && $5 == "rejected" {
        if (!first) { first = $2 }
        n += $2 > first + 600 && $2 < first + 3000 }
    END { print n <= 2 ? "at most two" : n " arrivals" }' "$RIG_DIR/arrivals"
awk '$1 != 200 { n++ } END { print n + 0, "not served" }' "$RIG_DIR/answers-short"
