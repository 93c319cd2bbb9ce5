# Requests through daemons in gateway mode: routes, API keys, bodies, headers,
# streams and refusals.
echo "== served"
gw_send_request 1 /once/a id-1 -X POST -d hello
gw_send_request 2 /safe/a id-2
GW_KEY= gw_send_request 3 /open/a id-3
gw_send_stream 1 id-4 30
curl -sN -m 10 -X POST -d x -H 'Host: a.example' -H 'Request-Id: id-5' -H 'Authorization: Bearer key-1' \
    -H 'Token-Counts: 9,30' -H 'Resumes: id-4' -H 'Last-Event-Id: 4' "http://$(gw_caller 2)/stream/1" | grep '^id'
echo "== refused"
gw_send_request 1 /nowhere/a id-6
GW_HOST=other.example gw_send_request 1 /safe/a id-7
GW_KEY=' Bearer key-9' gw_send_request 2 /safe/a id-8
GW_KEY= gw_send_request 2 /safe/a id-9
GW_LIMIT=soon gw_send_request 3 /safe/a id-10
gw_send_request 3 /stream/1 id-11 -X POST -H 'Token-Counts: many'
curl -s -m 5 -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' "http://$(gw_caller 1)/safe/a"
echo "== two lengths in one request: refused, and the connection is closed"
# Sent by one write, from a file: bash's printf writes line by line, and a write
# after the daemon has closed the connection would end this shell by SIGPIPE.
printf 'POST /once/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-12\r\nAuthorization: Bearer key-1\r\nContent-Length: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/b HTTP/1.1\r\nRequest-Id: id-13\r\n\r\n' > "$RIG_DIR/two-lengths"
exec 3<> "/dev/tcp/127.0.0.1/$RIG_PORT"
cat "$RIG_DIR/two-lengths" >&3
timeout 2 head -1 <&3 | tr -d '\r'
exec 3>&-
echo "runs: $(gw_count_runs id-12) $(gw_count_runs id-13)"
echo "== each ran once"
for i in 1 2 3 4; do gw_count_runs "id-$i"; done
