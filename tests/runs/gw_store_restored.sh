# The store comes back from a copy that is some seconds old: what was written
# since is gone, and its revisions are given out again.
gw_put_config 7
is_applied() { [ "$(grep -l "\"config.apply\",\"version\":$1" "$RIG_DIR"/d?.log | wc -l)" = 3 ]; }
rig_wait_until 3 is_applied 7 && echo "version 7 in force"
gw_set_switches "$(gw_store)" copy=1
add_object() { curl -sf -X POST -d "{\"metadata\":{\"name\":\"x$1\"},\"spec\":{}}" "http://$(gw_store)/pearstair/objects/config" > /dev/null; }
for i in $(seq 30); do add_object "$i"; done
gw_put_config 9 '"key-1"'
rig_wait_until 3 is_applied 9 && echo "version 9 in force, without key-2"
gw_crash_three_times
rig_kill d3 KILL
rig_wait_exit d3 2
gw_start_daemon 3
rig_wait_until 8 gw_serves 3 && echo "daemon 3 has started again"
echo "== restored"
gw_set_switches "$(gw_store)" down=1
sleep 0.3
gw_set_switches "$(gw_store)" "down=0&restore=1"
sleep 1
GW_KEY=" Bearer key-2" gw_send_request 1 /safe/x removed-key
gw_put_config 9 '"key-1"'
gw_put_config 11 '"key-1","key-3"'
rig_wait_until 3 is_applied 11 && echo "version 11 in force"
for i in 1 2 3; do GW_KEY=" Bearer key-3" gw_send_request "$i" /safe/x "new-key-$i"; done
for i in 1 2 3; do rig_wait_until 3 gw_lists_all_daemons "$i" && echo "daemon $i lists all daemons"; done
is_noticed() { grep -q '"store.restored"' "$RIG_DIR/d$1.log"; }
for i in 1 2 3; do rig_wait_until 15 is_noticed "$i" && echo "daemon $i has noticed it"; done
echo "== all daemons are lost: the banned content is still refused"
for i in 1 2 3; do rig_kill "d$i" KILL; done
for i in 1 2 3; do gw_start_daemon "$i"; done
for i in 1 2 3; do rig_wait_until 15 gw_serves "$i"; done
for i in 1 2 3; do gw_send_crashing "$i" "after-$i"; done
