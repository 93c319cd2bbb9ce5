# The store is away for longer than registrations last, and backend servers register again
# with their next heartbeats. No daemon drops a server that lives, also those that
# hear of servers from the allocator and seldom read the store: all requests are served.
sleep 3 # the others rely on the allocator
for _ in 1 2 3; do
    gw_set_switches "$(gw_store)" down=1
    gw_load 3 down 1 2 3 4
    gw_set_switches "$(gw_store)" down=0
    gw_load 4 back 1 2 3 4
done
cat "$RIG_DIR"/answers-* | awk '$0 != "200 ok" { n++ } END { print n + 0, "not served" }'
cat "$RIG_DIR"/d*.log | grep -c '"server.unlisted"'
