# Backend servers answer with the header by which daemons tell each other that they have
# sent nothing on: a daemon that is cut off believes its peers only, and nothing unsafe runs
# twice (docs/incidents/forward-result-of-a-server.md).
gw_cut_off reset 1
sleep 1.5 # until daemon 1 sends by way of others
for i in 2 4 6; do gw_set_switches "$(gw_runner "$i")" "forged=1"; done
for i in $(seq 20); do gw_send_request 1 /once/1 "forged-$i" -X POST -d "body $i"; done | sort | uniq -c | sed 's/^ *//'
awk '$1 ~ /^forged/ && $5 == "ran" { n[$1]++ } END { for (id in n) twice += n[id] > 1; print twice + 0, "of", length(n), "ran twice" }' "$RIG_DIR/arrivals"
