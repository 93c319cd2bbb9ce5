# Streams that have neither a length nor chunks and end with their connections: one
# that ends within an event was broken off and is resumed, within its answer. Two of four
# servers break streams off: a stream that is broken off at three is rightly given up.
gw_wait_for_slack
for n in 1 3 5 7; do gw_set_switches "$(gw_runner "$n")" "unframed=100"; done
for n in 1 3; do gw_set_switches "$(gw_runner "$n")" "cut=16"; done
for i in $(seq 40); do gw_send_stream $((i % 3 + 1)) "unframed-$i" 12; done | sort | uniq -c | sed 's/^ *//'
# One that ends before its first event was broken off too.
for n in 1 3 5 7; do gw_set_switches "$(gw_runner "$n")" "unframed=0&cut=0"; done
for n in 1 3; do gw_set_switches "$(gw_runner "$n")" "empty=16"; done
for i in $(seq 40); do gw_send_stream $((i % 3 + 1)) "empty-$i" 12; done | sort | uniq -c | sed 's/^ *//'
