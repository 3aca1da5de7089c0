# A graceful stop: the gateway reports not ready at once, still accepts requests
# but closes their connections, finishes streams, and exits with status 0.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin store store
gateway_config 1
gateway_server server-1 model --events 60 --event-ms 30
gateway_server server-2 desk --plain on --event-ms 5
gateway_start g1
wait_until gateway_ready g1
wait_until gateway_knows g1 server-1
wait_until gateway_knows g1 server-2
gateway_call g1 s1 /once/x -d p >"$FLEET_DIR/s1" &
caller=$!
has_run () {
	test "$(gateway_runs s1)" = 1
}

wait_until has_run
fleet_signal g1 TERM
sleep 0.3
gateway_ready g1 && fleet_fail "ready while stopping"
test "$(gateway_call g1 p1 /plain/x -d late)" = late ||
	fleet_fail "a request on a new connection was not served"
gateway_call g1 p2 /plain/x -d late -D "$FLEET_DIR/head" >/dev/null
grep -qi '^connection: close' "$FLEET_DIR/head" ||
	fleet_fail "the connection is not closed"
wait $caller || fleet_fail "the stream was interrupted"
test "$(grep -c '^data: ' "$FLEET_DIR/s1")" = 60 ||
	fleet_fail "the stream is incomplete"
wait "$(fleet_pid g1)" || fleet_fail "the process exited with $?"
echo "stopped: nothing was interrupted"
