# As gw_stream_versions, where the daemon that began the streams is killed, also while
# another one is paused: the streams go on at their version. When all daemons are killed
# at once nobody knows the versions: the streams don't go on at another one.
gw_change_versions v2 7 9 11
gw_wait_for_slack

# begin PREFIX - begins 20 streams at d1, which their callers take up at the next
# daemon when they break off
begin() {
    for i in $(seq 20); do gw_take_up 1 "$1-$i" 150 6 & done > "$RIG_DIR/$1"
    sleep 0.8
}

# print_versions PREFIX - prints whether streams mixed versions, and how many were whole
print_versions() {
    wait
    awk -v prefix="$1" '{ n++; mixed += $2 ~ /[+]/; whole += $NF == "whole"; versions[$2]++ }
        END { print prefix ": " (mixed == 0 ? "no stream of two versions" : mixed " of " n " streams of two versions") ", " (whole >= 0.8 * n ? "most whole" : whole " of " n " whole") ", " (("v1" in versions) + ("v2" in versions)) " versions" }' "$RIG_DIR/$1"
}

begin killed
rig_kill d1 KILL
print_versions killed
gw_start_daemon 1
rig_wait_until 10 gw_serves 1
gw_wait_for_slack

begin paused
rig_kill d3 STOP
rig_kill d1 KILL
sleep 3
rig_kill d3 CONT
print_versions paused
gw_start_daemon 1
for k in 1 2 3 4; do rig_wait_until 10 gw_serves "$k"; done
gw_wait_for_slack

begin all
for k in 1 2 3 4; do rig_kill "d$k" KILL; done
for k in 1 2 3 4; do gw_start_daemon "$k"; done
wait
print_versions all | sed 's/, .* whole//'
for k in 1 2 3 4; do rig_wait_until 10 gw_serves "$k"; done
gw_send_stream 2 unknown 20 -H 'Resumes: nobody-1-1' -H 'Last-Event-Id: 3'
# Its origin is in the store only: all daemons have ended since. It goes on from event 4.
gw_send_stream 2 stored 20 -H 'Resumes: paused-1-1' -H 'Last-Event-Id: 3'
gw_send_stream 2 new 20
