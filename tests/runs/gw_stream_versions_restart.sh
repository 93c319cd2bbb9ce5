# Two versions of the servers' software serve side by side, as old as can be, and all
# servers of one leave; then all daemons are killed and start anew. Callers take up their
# broken streams: none goes on at the version that is left.
GW_TRIES=14
export GW_RETRY_S=0.3

# restart_daemons [COMMAND...] - kills all daemons at once, does this, and starts them
restart_daemons() {
    local k
    for k in 1 2 3 4; do rig_kill "d$k" KILL; done
    sleep 0.3
    "$@"
    for k in 1 2 3 4; do gw_start_daemon "$k"; done
}

# begin PREFIX - begins 20 streams, which their callers take up when they break off
begin() {
    for i in $(seq 20); do gw_take_up $((i % 4 + 1)) "$1-$i" 250 8 & done > "$RIG_DIR/$1"
    sleep 1
}

# end_servers N... - ends these backend servers; their registrations are removed at once
end_servers() {
    local n
    for n in "$@"; do
        rig_kill "r$n" KILL
        curl -sf -X DELETE "http://$(gw_store)/pearstair/objects/servers/${names[$n]}" > /dev/null
    done
}

# return_servers VERSION N... - starts backend servers of this version
return_servers() {
    local n version=$1
    shift
    for n in "$@"; do
        GW_SERVER_VERSION[$n]=$version
        names[$n]=r$n-$version
        gw_start_runner "$n" "${names[$n]}"
    done
    for k in 1 2 3 4; do rig_wait_until 10 gw_serves "$k"; done
    sleep 1.5
}

# print_versions PREFIX - prints whether streams mixed versions; where only one has
# served, whether most were whole
print_versions() {
    wait
    awk -v prefix="$1" '{ n++; mixed += $2 ~ /[+]/; whole += $NF == "whole" }
        END {
            text = mixed == 0 ? "no stream of two versions" : mixed " of " n " streams of two versions"
            if (prefix == "only_version")
                text = text (whole >= 0.8 * n ? ", most whole" : ", " whole " of " n " whole")
            print prefix ": " text
            print prefix, whole, "of", n, "whole" > "/dev/stderr" }' "$RIG_DIR/$1"
}

declare -A names=([1]=r1 [3]=r3 [5]=r5 [7]=r7 [9]=r9)
begin only_version
restart_daemons
print_versions only_version

gw_set_switches "$(gw_store)" copy=1
end_servers 5 7 9
return_servers v2 5 7 9
begin servers_crashed
end_servers 1 3
sleep 0.5
restart_daemons
print_versions servers_crashed

return_servers v3 1 3
begin killed_twice
end_servers 1 3
sleep 0.5
restart_daemons
sleep 0.6
restart_daemons
print_versions killed_twice

return_servers v4 1 3
begin servers_drained
for n in 5 7 9; do gw_set_switches "$(gw_runner "$n")" leaving=1; done
sleep 0.8
end_servers 5 7 9
restart_daemons
print_versions servers_drained

return_servers v5 5 7 9
begin store_away
end_servers 1 3
sleep 0.5
gw_set_switches "$(gw_store)" down=1
restart_daemons
sleep 0.8
gw_set_switches "$(gw_store)" down=0
print_versions store_away

# Back at the version of the store's copy.
end_servers 5 7 9
return_servers v1 5 7
return_servers v6 1 3
begin store_restored
end_servers 1 3
sleep 0.5
restart_daemons gw_set_switches "$(gw_store)" restore=1
print_versions store_restored
