# Three of six daemons are cut off from all backend servers. What they lose bans nothing,
# a content that crashes servers is still found out, their callers are served while the
# daemons that carry for them are killed or paused, and when the cut is over they use
# their own connections again.
# print_lost N - prints how many servers daemon N has lost
print_lost() { curl -s "http://$(gw_metrics "$1")/" | awk '/^pearstair_servers_lost/ { print $2 }'; }
uses_own_connections() { [ "$(print_lost "$1")" = 0 ]; }
has_lost_all() { [ "$(print_lost "$1")" = "$GW_RUNNERS" ]; }

sleep 2.5

# Streams with a part in common run at all engines when the connections are reset.
for i in 1 2 3 1 2 3 1 2 3 1 2 3; do
    gw_send_stream "$i" "common-$RANDOM" 60 -H "Prompt-Prefix: c0ffee:50,$RANDOM:50" > /dev/null &
done
sleep 0.3
gw_cut_off reset 1 2 3
wait %1
for i in 1 2 3; do rig_wait_until 5 has_lost_all "$i"; done
for i in 1 2 3; do gw_send_stream "$i" "after-$i" 5 -H "Prompt-Prefix: c0ffee:50,$RANDOM:50"; done
echo "bans: $(cat "$RIG_DIR"/d*.log | grep -c '"content.banned"')"
for i in 4 5 6; do gw_addresses "$i" | tr '\n' ' '; echo; done | sort -u | sed "s/:$RIG_PORT//g"

# Each crash is seen by the daemon that carries the request only, and the registrations of
# servers that have ended last 6 s. Three servers end, three are left.
for i in 1 2 3; do
    gw_send_crashing "$i" "$i"
    sleep 0.4
done
sleep 1
for i in 1 4; do gw_send_crashing "$i" "late-$i"; done
for i in 2 4 6 8 10 12; do
    rig_is_alive "r$i" || gw_restart_runner "$i"
done
sleep 1

# The daemons that carry for the others are killed in turn, or stand still.
: > "$RIG_DIR/tries"
start_ms=$(date +%s%3N)
gw_try_load 9 safe 1 2 3 & gw_try_load 9 once 1 2 3 & gw_try_load 9 stream 1 2 3 &
for i in 4 5; do
    sleep 1.2
    rig_kill "d$i" KILL
    sleep 0.8
    gw_start_daemon "$i"
done
sleep 1
rig_kill d6 STOP
sleep 0.7
rig_kill d6 CONT
wait
awk -v from="$start_ms" '$1 >= from { n++; ok += $4 == "served" }
    END { printf "%d of %d\n", ok, n > "/dev/stderr"; print (ok >= .9 * n ? "served" : "not served") }' "$RIG_DIR/tries"

gw_cut_off clear 1 2 3
for i in 1 2 3; do rig_wait_until 4 uses_own_connections "$i" && echo "d$i uses its own connections"; done
awk '$5 == "ran" && $1 ~ /^once/ && runs[$1]++ { n++ } END { print n + 0, "ran twice" }' "$RIG_DIR/arrivals"
