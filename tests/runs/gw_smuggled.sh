# Guards against a request that runs though it stands in the body of another one, whose
# head two readers could read differently (UNASKED); and against two values of a field
# that is read once.
n=0
# send_head FIELDS - sends daemon 1 a request with these fields; its body is another one.
# %d stands for the length of the body
send_head() {
    local inner
    n=$((n + 1))
    printf 'POST /once/inner HTTP/1.1\r\nHost: a.example\r\nRequest-Id: inner-%d\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n' "$n" > "$RIG_DIR/inner"
    inner=$(stat -c %s "$RIG_DIR/inner")
    {
        printf 'POST /once/outer HTTP/1.1\r\nHost: a.example\r\nRequest-Id: outer-%d\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 3000\r\n' "$n"
        printf "$1\r\n\r\n" "$inner"
        cat "$RIG_DIR/inner"
    } > "$RIG_DIR/request"
    exec 3<> "/dev/tcp/127.0.0.1/$RIG_PORT"
    cat "$RIG_DIR/request" >&3
    timeout 0.5 head -1 <&3 | tr -d '\r'
    exec 3>&-
}
# try_heads - sends heads with each of the lines read; prints the answers
try_heads() { while read -r fields; do send_head "$fields"; done; }
# count_inner - prints how many of the requests inside others ran
count_inner() { awk '$1 ~ /^inner-/ && $5 == "ran"' "$RIG_DIR/arrivals" | wc -l; }
count_outer() { awk '$1 ~ /^outer-/ && $5 == "ran"' "$RIG_DIR/arrivals" | wc -l; }
echo "== lengths that two readers could read differently"
try_heads > "$RIG_DIR/answers" <<'END'
Content-Length : %d
Content-Length\t: %d
content-length : %d
X: a\r\nContent-Length :%d
Content-Length:\r\n %d
Content-Length: 0\r\n %d
Content-Length\r: %d
Content-Length: 0\r%d
Content-Length: 0\r\nContent-Length: %d
Content-Length: 0\r\nContent-Length : %d
Transfer-Encoding : chunked
Transfer-Encoding:\r\n chunked
Transfer-Encoding: identity
END
grep -v '^HTTP/1.1 400' "$RIG_DIR/answers"
echo "answers: $(wc -l < "$RIG_DIR/answers")"
sleep 0.3
echo "inner requests that ran: $(count_inner), outer ones: $(count_outer)"
echo "== fields whose names only look like the gateway's own"
for field in 'Tenant : other' 'Hold : 7' 'Authorization : Bearer key-2' 'Pearstair-Forward : r2' 'Expect-Instance\t: r9'; do
    send_head "$field\r\nContent-Length: %d"
done
echo "== fields that are read once, twice"
for field in 'Request-Id: other' 'Authorization: Bearer key-2' 'Deadline-Ms: 9' 'Host: b.example' 'Token-Counts: 1,1\r\nToken-Counts: 2,2'; do
    send_head "$field\r\nContent-Length: %d"
done
sleep 0.3
echo "inner requests that ran: $(count_inner), outer ones: $(count_outer)"
echo "logged: $(grep -c '"request.malformed"' "$RIG_DIR/d1.log")"
echo "== a sound one: its body is a body"
send_head 'Content-Length: %d'
sleep 0.3
echo "inner requests that ran: $(count_inner), outer ones: $(count_outer)"
