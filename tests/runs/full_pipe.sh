# Nobody reads the daemon's log: lines are dropped, and requests are served.
mkfifo "$RIG_DIR/pipe"
sleep 120 < "$RIG_DIR/pipe" &
rig_own $!
rig_write_settings 4
"$RIG_BUILD/pearstaird" -s "$RIG_DIR/d4.ini" > /dev/null 2> "$RIG_DIR/pipe" &
RIG_PID[d4]=$!
rig_own $!
rig_wait_until 15 rig_serves 4
"$RIG_BUILD/pearstair-load" --direct "$(rig_caller 4)" --mix service -n 600 -r 300 -q > "$RIG_DIR/load"
echo "exit $?"
awk 'NR > 1 && /^ +[0-9]/ { good += $4 } END { print "good answers", good }' "$RIG_DIR/load"
echo "lines dropped: $(curl -s "http://$(rig_admin 4)/metrics" | awk '$1 == "pearstair_log_lines_dropped_total" { print ($2 > 0) ? "some" : "none" }')"
