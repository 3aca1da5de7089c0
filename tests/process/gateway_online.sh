# Online requests through a gateway: streams and plain responses arrive
# unchanged, a refused request did not run, and disconnected callers and failed
# servers are handled.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin store store
gateway_start g1
gateway_ready g1 && fleet_fail "ready without a configuration"
test "$(gateway_status g1 early /stream/x -d p)" = 503 ||
	fleet_fail "a node without a configuration must answer 503"
gateway_config 1
gateway_server server-1 model --events 30
gateway_server server-2 desk --plain on --event-ms 5
wait_until gateway_ready g1
wait_until gateway_knows g1 server-1
wait_until gateway_knows g1 server-2

check_complete () {
	test "$(grep -c '^data: ' "$1")" = 30 ||
		fleet_fail "$1 has $(grep -c '^data: ' "$1") of 30 events"
}

# A stream arrives complete, with the server's signature and id.
gateway_call g1 s1 /stream/x -d p -D "$FLEET_DIR/head" >"$FLEET_DIR/s1"
check_complete "$FLEET_DIR/s1"
grep -qi '^x-server-signature:' "$FLEET_DIR/head" ||
	fleet_fail "the signature is missing"
grep -qi '^x-attempt-id: s1' "$FLEET_DIR/head" ||
	fleet_fail "the response does not echo the request id"
echo "stream: complete"

# Plain responses arrive byte for byte.
test "$(gateway_call g1 p1 /plain/x -d 'a body')" = "a body" ||
	fleet_fail "the body differs"
head -c 300000 /dev/urandom >"$FLEET_DIR/bytes"
gateway_call g1 p2 /plain/x --data-binary "@$FLEET_DIR/bytes" |
	cmp - "$FLEET_DIR/bytes" || fleet_fail "a large body came back changed"
echo "plain: complete"

# Requests without a route or without an id are refused.
test "$(gateway_status g1 n1 /nowhere/x)" = 404 || fleet_fail "no 404"
test "$(curl -s -o /dev/null -w '%{http_code}' -H "Host: $GATEWAY_HOST" \
	-d p "http://$(gateway_address g1 front)/plain/x")" = 400 ||
	fleet_fail "no 400 without an id"
test "$(GATEWAY_HOST=other.example
	gateway_status g1 n2 /plain/x -d p)" = 404 ||
	fleet_fail "no 404 for another host"

# Oversized and aborted requests don't affect later ones.
head -c 5000000 /dev/zero >"$FLEET_DIR/large"
test "$(gateway_status g1 n3 /plain/x --data-binary "@$FLEET_DIR/large")" = 413 ||
	fleet_fail "no 413 for an oversized body"
gateway_call g1 n4 /plain/x --data-binary "@$FLEET_DIR/bytes" \
	--limit-rate 50k -m 0.5 >/dev/null
test "$(gateway_call g1 p3 /plain/x -d 'still here')" = "still here" ||
	fleet_fail "an aborted request affected the next one"
echo "bad requests: refused"

# A resumable stream continues on another server when its connection breaks.
gateway_server server-3 model --events 30
wait_until gateway_knows g1 server-3
# The server holds the stream after its fifth event, until it is killed.
gateway_call g1 r1 /stream/x -N -d 'hold 5' >"$FLEET_DIR/r1" &
caller=$!
wait_until grep -q '^data: r1-5' "$FLEET_DIR/r1"
server=server-1
curl -s "http://$(fleet_address server-1)/runs" | grep -q '"r1"' ||
	server=server-3
fleet_fault $server kind=kill_streams
wait $caller
check_complete "$FLEET_DIR/r1"
seq 1 30 | sed 's/^/data: r1-/' >"$FLEET_DIR/expected"
grep '^data: ' "$FLEET_DIR/r1" | cmp - "$FLEET_DIR/expected" ||
	fleet_fail "the resumed stream lacks or repeats an event"
echo "resumed: complete"

# A stream that can't be resumed ends with an error and is run only once.
status=0
(
	gateway_call g1 o1 /once/x -N -d 'hold 5' >"$FLEET_DIR/o1"
	echo $? >"$FLEET_DIR/o1.status"
) &
caller=$!
wait_until grep -q '^data: o1-5' "$FLEET_DIR/o1"
fleet_fault server-1 kind=kill_streams
fleet_fault server-3 kind=kill_streams
wait $caller
test "$(cat "$FLEET_DIR/o1.status")" -ne 0 ||
	fleet_fail "a broken stream ended without an error"
test "$(gateway_runs o1)" = 1 || fleet_fail "the request ran more than once"
echo "unrepeatable: broken, ran once"

# When a caller disconnects, its request is cancelled on the server.
gateway_call g1 l1 /once/x -d p -m 0.3 >/dev/null
sleep 0.6
load=$(gateway_call g1 l2 /once/x -d p -D - -o /dev/null |
	tr -d '\r' | sed -n 's/^x-server-load: //Ip')
test "${load%%,*}" = 1 ||
	fleet_fail "the server still runs the request: load $load"
echo "caller disconnected: cancelled on the server"

# All servers of a stream stall until its attempts are used up. The gateway must
# not spin on the stall timer: it serves other requests, and the stream ends
# with an error at its deadline.
(
	gateway_call g1 w1 /stream/x -N -d 'hold 5' >"$FLEET_DIR/w1"
	echo $? >"$FLEET_DIR/w1.status"
) &
caller=$!
wait_until grep -q '^data: w1-5' "$FLEET_DIR/w1"
fleet_fault server-1 kind=stall
fleet_fault server-3 kind=stall
sleep 4
test "$(gateway_call g1 p4 /plain/x -d alive -m 2)" = alive ||
	fleet_fail "a stalled stream blocks other requests"
wait $caller
test "$(cat "$FLEET_DIR/w1.status")" -ne 0 ||
	fleet_fail "a stalled stream ended without an error"
test "$(gateway_runs w1)" = 2 ||
	fleet_fail "the stalled stream was not retried exactly once"
fleet_fault server-1 kind=none
fleet_fault server-3 kind=none
echo "stalled: failed at its deadline, others served"

# A server that now has another server's address doesn't run requests that were
# meant for that server.
gateway_list server-1 model draining
gateway_list server-3 model draining
gateway_list server-2 model ready i-gone
sleep 1
test "$(gateway_status g1 e1 /once/x -d p)" = 503 ||
	fleet_fail "no 503 when no server may run it"
test "$(gateway_runs e1)" = 0 ||
	fleet_fail "the request ran on another incarnation"
echo "other incarnation: not run"
