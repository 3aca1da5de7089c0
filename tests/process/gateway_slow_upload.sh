# Guards against cutting off a sound server that doesn't read a long request for a while,
# and failing the request that it would have run.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

gateway_alone
gateway_server server-1 model --events 5 --event-ms 5
wait_until gateway_knows g1 server-1
head -c 4000000 /dev/zero | tr '\0' 'b' >"$FLEET_DIR/large"

served () {
	test "$(gateway_status g1 "small-$request" /stream/x -d p)" = 200
}

# On new connections, and on one that a small request has left.
for request in first second
do
	fleet_signal server-1 STOP
	gateway_status g1 $request /once/x --data-binary "@$FLEET_DIR/large" \
		>"$FLEET_DIR/status" &
	caller=$!
	sleep 3
	fleet_signal server-1 CONT
	wait $caller
	expect "$request request" "$(cat "$FLEET_DIR/status"), $(gateway_runs $request) run" \
		"200, 1 run"
	# The server is avoided for a moment after its silence.
	wait_until served
done
