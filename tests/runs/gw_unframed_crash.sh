# A stream that has neither a length nor chunks ends like a whole one when its server's
# process ends. The daemon checks the server all the same, so that the part of the prompt
# that ended it counts long before the registration is removed: on a connection of its
# own, and where another daemon carries the stream.
knows_end() { grep '"content.server_ended"' "$RIG_DIR/d$1.log" | grep -q '"kind":"part"'; }
has_lost_all() { [ "$(curl -s "http://$(gw_metrics "$1")/" | awk '/^pearstair_servers_lost/ { print $2 }')" = "$GW_RUNNERS" ]; }

# try_crash N WAY - has a stream of daemon N end its server
try_crash() {
    gw_send_stream "$1" "crashing-$1" 12 -H "Prompt-Prefix: dead04:30,$1:40"
    rig_wait_until 2 knows_end "$1" && echo "$2: end known"
}

gw_cut_off reset 1
gw_try_load 2 safe 1
rig_wait_until 5 has_lost_all 1
try_crash 2 "own connection"
try_crash 1 "other daemon"
grep -h '"forward.end"' "$RIG_DIR"/d*.log | grep -c '"id":"crashing-1"'
