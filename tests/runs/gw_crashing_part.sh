# One part of the prompts of some streams ends every backend server that begins to
# write an answer on it. The streams differ in all else, and share the first part and
# the team with sound ones. The servers are back after 2 s under new names. At most
# three such streams reach servers later than 3 s after the fifth crash, and most
# of the sound ones are served meanwhile.
touch "$RIG_DIR/crashing"
gw_return_servers 2000 1 3 5 7 9 11 &
returning=$!

# send_streams SECONDS PREFIX PAUSE PARTS - sends streams with PARTS before their last
# part to each daemon in turn; the verdicts go to streams-PREFIX
send_streams() {
    local i=0 end=$((SECONDS + $1)) prefix=$2 pause=$3 parts=$4 sent=()
    while [ "$SECONDS" -lt "$end" ]; do
        i=$((i + 1))
        (echo "$(date +%s%3N) $(gw_send_stream $((i % 3 + 1)) "$prefix-$i" 12 -H "Prompt-Prefix: $parts,$(printf %x $((i + 4096))):40")" >> "$RIG_DIR/streams-$prefix") &
        sent+=($!)
        sleep "$pause"
    done
    wait "${sent[@]}"
}

send_streams 18 sound 0.04 "5a11:60" &
sound=$!
sleep 2
send_streams 14 crashing 0.2 "5a11:60,dead01:30"
wait "$sound"
rm "$RIG_DIR/crashing"
wait "$returning"
gw_stop_returned
awk '/^crashing-/ && $5 == "ran" { at[++n] = $2 }
    END {
        for (i = 6; i <= n; i++) { late += at[i] > at[5] + 3000 }
        print late <= 3 ? "at most 3 requests late" : late " of " n " requests late"
    }' "$RIG_DIR/arrivals"
# From 6 s after the fifth crash on.
from=$(awk '/^crashing-/ && $5 == "ran" && ++n == 5 { printf "%.0f\n", $2 + 6000 }' "$RIG_DIR/arrivals")
awk -v from="$from" '$1 > from { n++; whole += $3 == "whole" }
    END { print (n >= 40 && whole >= 0.9 * n ? "sound streams are served" : whole " of " n " sound streams whole") }' "$RIG_DIR/streams-sound"
