# Guards against a stream that broke off inside an event reaching its caller as
# complete, when the response had neither a length nor chunks.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

HEAD='HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Signature: s\r\n\r\n'
EVENTS='id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

fleet_standin raw raw
gateway_alone

# A stream that can't be resumed is broken off towards the caller, who gets
# only the complete events.
gateway_raw_server cut model close "${HEAD}${EVENTS}id: 3\ndata: brok"
wait_until gateway_knows_raw g1 cut
status=0
gateway_call g1 o1 /once/x -N -d p >"$FLEET_DIR/o1" || status=$?
test "$status" -ne 0 || fleet_fail "a cut stream ended without an error"
printf "%b" "$EVENTS" | cmp - "$FLEET_DIR/o1" ||
	fleet_fail "the caller got other bytes than the two events"
grep -q 'request=o1 .*framing=close rest=16' "$FLEET_DIR/g1.log" ||
	fleet_fail "the log does not tell how the stream broke off"
echo "unrepeatable: broken off"

# A chunked body with a proper end is no more complete.
gateway_raw_server cut model close \
	"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n6\r\nid: 2\n\r\n0\r\n\r\n"
wait_until gateway_knows_raw g1 cut
status=0
gateway_call g1 o2 /once/x -N -d p >"$FLEET_DIR/o2" || status=$?
test "$status" -ne 0 || fleet_fail "a cut chunked stream ended without an error"
echo "chunked: broken off"

# A stream that ends after an event is complete.
gateway_raw_server cut model close "${HEAD}${EVENTS}"
wait_until gateway_knows_raw g1 cut
gateway_call g1 o3 /once/x -N -d p >"$FLEET_DIR/o3" ||
	fleet_fail "a complete stream ended with an error"
printf "%b" "$EVENTS" | cmp - "$FLEET_DIR/o3" ||
	fleet_fail "a complete stream arrived changed"
echo "after an event: complete"

# A stream that can be resumed goes on at another server, after the last
# complete event.
gateway_raw_server cut model close "${HEAD}id: 1\ndata: r1-1\n\nid: 2\ndata: r1"
wait_until gateway_knows_raw g1 cut
# The gateway prefers the server of its own data centre.
GATEWAY_ZONE=dc2 gateway_server server-1 model --events 30
wait_until gateway_knows g1 server-1
gateway_call g1 r1 /stream/x -N -d p >"$FLEET_DIR/r1" ||
	fleet_fail "a resumed stream ended with an error"
test "$(gateway_raw_count cut accepted)" = 1 ||
	fleet_fail "the stream did not start at the server that breaks off"
seq 1 30 | sed 's/^/data: r1-/' >"$FLEET_DIR/expected"
grep '^data: ' "$FLEET_DIR/r1" | cmp - "$FLEET_DIR/expected" ||
	fleet_fail "the resumed stream lacks or repeats an event"
echo "resumable: continued elsewhere"
