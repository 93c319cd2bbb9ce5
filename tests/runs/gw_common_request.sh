# All servers of a service cut their connections for a while, before any has
# answered the request without a body that many callers send: it is served again
# as soon as they answer, since none of them has ended.
for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" cut=100; done
for i in $(seq 9); do gw_send_request $((i % 3 + 1)) /safe/common "cut-$i"; done | sort -u
for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" cut=0; done
sleep 4 # until the daemons use the servers again
for i in $(seq 9); do gw_send_request $((i % 3 + 1)) /safe/common "good-$i"; done | sort | uniq -c | sed 's/^ *//'
