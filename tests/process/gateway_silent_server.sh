# Guards against a stream of a sound server that is cut during a pause, as another server is
# asked to go on with it and doesn't, and against one whose server is silent for good and
# that doesn't go on elsewhere.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

EVENTS=40
PAUSED_MS=1800

# answer STATUS ID FIELDS
answer () {
	printf '%s' "HTTP/1.1 $1 Answer\r\nX-Attempt-Id: $2\r\n${3:-}Content-Length: 0\r\n\r\n"
}

# paused ID THEN BYTES: the server of a stream pauses while another one is listed, which
# answers so; the stream must be complete, and have run at its server only.
paused () {
	gateway_call g1 "$1" /stream/x -N -d "pause 5 $PAUSED_MS" >"$FLEET_DIR/$1" &
	caller=$!
	# The server is busy with another stream meanwhile.
	gateway_call g1 "busy-$1" /stream/x -d p >"$FLEET_DIR/busy" &
	busy=$!
	wait_until grep -q '^id: 5$' "$FLEET_DIR/$1"
	gateway_raw_server "other-$1" model "$2" "$3"
	wait_until gateway_knows_raw g1 "other-$1"
	wait $caller || fleet_fail "$1 was broken off"
	expect "$1" "$(grep -c '^id: ' "$FLEET_DIR/$1") events, $(gateway_runs "$1") run" \
		"$EVENTS events, 1 run"
	test "$(gateway_raw_count "other-$1" accepted)" -ge 1 ||
		fleet_fail "$1: the other server was not asked"
	wait $busy
	gateway_list_address "$(cat "$FLEET_DIR/other-$1.raw")" model draining "other-$1"
	wait_until grep -q "event=server id=other-$1 .* draining" "$FLEET_DIR/g1.log"
}

fleet_standin raw raw
gateway_alone
gateway_server server-1 model --slots 8 --events $EVENTS --event-ms 60
wait_until gateway_knows g1 server-1

paused full replies "$(answer 503 full 'X-Not-Executed: 1\r\nX-Server-Load: 8,24,8\r\n')"
paused limited replies "$(answer 429 limited 'X-Not-Executed: 1\r\n')"
paused moved replies "$(answer 421 moved 'X-Not-Executed: 1\r\n')"
paused failing replies "$(answer 500 failing 'X-Server-Signature: s\r\n')"
paused unsigned replies "$(answer 200 unsigned)"
paused closing close ''
paused queueing open ''

# A stream whose server stays silent goes on at another one, without a gap.
gateway_call g1 s1 /stream/x -N -d "hold 5" >"$FLEET_DIR/s1" &
caller=$!
wait_until grep -q '^id: 5$' "$FLEET_DIR/s1"
gateway_server server-2 model --slots 8 --events $EVENTS --event-ms 5
wait_until gateway_knows g1 server-2
wait $caller || fleet_fail "the silent stream was broken off"
expect "silent for good" "$(sed -n 's/^id: //p' "$FLEET_DIR/s1" | paste -s -d' ')" \
	"$(seq 1 $EVENTS | paste -s -d' ')"
wait_until grep -q "event=stall request=s1 .* answers" "$FLEET_DIR/g1.log"
