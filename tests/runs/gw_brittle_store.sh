# As gw_brittle_faults, while the store is away for 3 s.
lose_store() {
    sleep 1
    gw_set_switches "$(gw_store)" down=1
    sleep 3
    gw_set_switches "$(gw_store)" down=0
}

touch "$RIG_DIR/crashing" "$RIG_DIR/returned"
gw_return_servers 3000 2 4 6 8 10 &
gw_try_brittle "calm" 100 3
gw_try_brittle "the store is away" 240 8 lose_store
rm "$RIG_DIR/crashing"
wait
gw_stop_returned
