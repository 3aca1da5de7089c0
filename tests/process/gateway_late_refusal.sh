# Guards against a caller who is told that its request has not run while a server runs it,
# as the server sends an earlier refusal once more, with that one's id or without any, on a
# connection that the request has got; and against other late answers that are taken for its
# own.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

NOT_RUN='X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'

# success ID: the answer to a request.
success () {
	printf '%s' "HTTP/1.1 200 OK\r\nX-Attempt-Id: $1\r\nX-Server-Signature: s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n"
}

# late NAME PATH BYTES: two requests come one after the other, and these bytes while the
# second one is in progress, on its connection; it must get its own answer.
late () {
	gateway_raw_server "server-$1" model replies \
		"$(success "$1-1")\f$3\v$(success "$1-2")"
	wait_until gateway_knows_raw g1 "server-$1"
	first=$(gateway_status g1 "$1-1" "$2" -d p)
	expect "$1" "$first, $(gateway_status g1 "$1-2" "$2" -d p)" "200, 200"
	grep -q '^data: a' "$FLEET_DIR/body" || fleet_fail "$1: another body"
	test "$(gateway_raw_count "server-$1" accepted)" = 1 ||
		fleet_fail "$1: the second request had another connection"
	gateway_list_address "$(cat "$FLEET_DIR/server-$1.raw")" model draining \
		"server-$1"
	wait_until grep -q "event=server id=server-$1 .* draining" "$FLEET_DIR/g1.log"
}

fleet_standin raw raw
gateway_alone

late named /once/x "HTTP/1.1 503 Busy\r\nX-Attempt-Id: named-1\r\n$NOT_RUN"
late nameless /once/x "HTTP/1.1 503 Busy\r\n$NOT_RUN"
late limited /once/x "HTTP/1.1 429 Limited\r\n$NOT_RUN"
late moved /once/x "HTTP/1.1 421 Moved\r\n$NOT_RUN"
late resumable /stream/x "HTTP/1.1 503 Busy\r\n$NOT_RUN"
late failure /once/x "HTTP/1.1 500 Error\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"
late answer /once/x "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: b\n\n"
