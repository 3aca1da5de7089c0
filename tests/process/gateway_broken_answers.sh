# Guards against bytes of a server that are no answer in HTTP reaching a caller as one: a
# request that may run again is answered by another server, any other one with 502.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

SIGNED='X-Server-Signature: s\r\nContent-Length: 2\r\n'
BODY='\r\nno'

fleet_standin raw raw
gateway_alone
# The gateway prefers the servers of its own data centre, which are the broken ones.
GATEWAY_ZONE=dc2 gateway_server server-1 desk --plain on --event-ms 5
wait_until gateway_knows g1 server-1

# odd_server ID SERVICE BYTES: lists a server that answers each request with the bytes.
odd_server () {
	gateway_raw_server "$1" "$2" replies "$3"
	wait_until gateway_knows_raw g1 "$1"
}

# odd_server_leaves ID SERVICE
odd_server_leaves () {
	gateway_list_address "$(cat "$FLEET_DIR/$1.raw")" "$2" draining "$1"
	wait_until grep -q "event=server id=$1 .* draining" "$FLEET_DIR/g1.log"
}

# broken NAME BYTES: checks that the bytes are no answer to any request.
broken () {
	odd_server "$1" desk "$2"
	expect "$1, repeatable" "$(gateway_status g1 "$1-p" /plain/x -d p)" 200
	test "$(cat "$FLEET_DIR/body")" != no ||
		fleet_fail "$1: the broken answer was passed on"
	test "$(gateway_raw_count "$1" replies)" -ge 1 ||
		fleet_fail "$1: the broken server was not asked"
	odd_server_leaves "$1" desk
	odd_server "$1-once" model "$2"
	expect "$1, not repeatable" \
		"$(gateway_status g1 "$1-o" /once/x -d p)" 502
	odd_server_leaves "$1-once" model
}

broken status-0 "HTTP/1.1 000 \r\n$SIGNED$BODY"
broken status-99 "HTTP/1.1 099 Odd\r\n$SIGNED$BODY"
broken status-600 "HTTP/1.1 600 Odd\r\n$SIGNED$BODY"
broken status-4-digits "HTTP/1.1 0200 OK\r\n$SIGNED$BODY"
broken version "HTTP/2.0 200 OK\r\n$SIGNED$BODY"
broken field-name "HTTP/1.1 200 OK\r\nX Odd: 1\r\n$SIGNED$BODY"
broken field-control "HTTP/1.1 200 OK\r\nX-\001Odd: 1\r\n$SIGNED$BODY"
broken field-colon "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n$SIGNED$BODY"
broken folded "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\n$SIGNED$BODY"
# The body would seem to have no end, or to be another one.
broken length-name "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length : 2\r\n$BODY"
broken coding "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2$BODY\r\n0\r\n\r\n"

# An item runs at another server after such an answer.
odd_server item model "HTTP/1.1 000 \r\n$SIGNED$BODY"
expect "job" "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1)")" 202
wait_until grep -q 'item=item-1 broken off' "$FLEET_DIR/g1.log"
gateway_server server-2 model --events 5
wait_until gateway_has_results g1 job-1 1
gateway_call g1 read "/lots/job-1?After=0" | grep -q 'item-1-5' ||
	fleet_fail "the item's output is not whole"
echo "item: runs elsewhere"
