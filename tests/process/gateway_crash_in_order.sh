# Guards against overlooking a server that crashes and closes its connections in
# order, and against blaming the parts of prompts for streams that were whole.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

HEAD='HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Signature: s\r\n'
CHUNKED='Transfer-Encoding: chunked\r\n\r\n'

quarantined () {
	grep -c 'event=quarantine part=.* quarantined' "$FLEET_DIR/g1.log" || true
}

# check NAME COUNT BYTES: sends a request with one part, and a body of its own, to each of
# three servers, which answer with these bytes and close, and checks how many parts are
# quarantined then.
check () {
	for i in 1 2 3
	do
		gateway_raw_server "$1-$i" model close "$3"
		wait_until gateway_knows_raw g1 "$1-$i"
		gateway_call g1 "$1-$i" /once/x -N -d "$1-$i" \
			-H "X-Prompt-Prefix: $1:50,$i:9" >/dev/null || true
		test "$(gateway_raw_count "$1-$i" accepted)" -ge 1 ||
			fleet_fail "$1: server $i got no request"
		gateway_put keyed.servers "$1-$i" ""
		wait_until grep -q "event=server id=$1-$i unlisted" "$FLEET_DIR/g1.log"
	done
	test "$(quarantined)" = "$2" ||
		fleet_fail "$1: $(quarantined) parts are quarantined, not $2"
	echo "$1: $2"
}

fleet_standin raw raw
gateway_alone
check whole 0 "$HEAD\r\nid: 1\ndata: a\n\n"
check crlf 0 "$HEAD\r\nid: 1\r\ndata: a\r\n\r\n"
check inside 1 "$HEAD\r\nid: 1\ndata:"
check chunks 2 "$HEAD${CHUNKED}b\r\nid: 1\ndata:\r\n0\r\n\r\n"
