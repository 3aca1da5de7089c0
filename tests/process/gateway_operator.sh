# Operators ask a gateway in their language; it shows what it knows and changes
# nothing.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin store store
gateway_config 3 1000
gateway_server server-1 model --events 200
gateway_start g1
gateway_start g2
wait_until gateway_ready g1
wait_until gateway_ready g2
wait_until gateway_knows g1 server-1

# ask STATUS COMMAND: briarplankctl must end with the status.
ask () {
	wanted=$1
	shift
	"$BUILD/briarplankctl/briarplankctl" \
		-e "http://$(gateway_address g1 metrics)" "$@" \
		>"$FLEET_DIR/out" 2>&1 </dev/null
	got=$?
	test "$got" -eq "$wanted" ||
		fleet_fail "$* ended with $got: $(cat "$FLEET_DIR/out")"
}

said () {
	grep -q -e "$1" "$FLEET_DIR/out" ||
		fleet_fail "no \"$1\" in: $(cat "$FLEET_DIR/out")"
}

shows () {
	"$BUILD/briarplankctl/briarplankctl" \
		-e "http://$(gateway_address g1 metrics)" "$1" </dev/null |
		grep -q -e "$2"
}

# Jobs, of all entries, and what was refused.
gateway_job 4 work long >"$FLEET_DIR/job"
test "$(gateway_status g2 long /batch/jobs --data-binary \
	"@$FLEET_DIR/job")" = 202 || fleet_fail "not accepted"
gateway_job 20 work large >"$FLEET_DIR/job"
test "$(gateway_status g1 large /batch/jobs --data-binary \
	"@$FLEET_DIR/job")" = 429 || fleet_fail "no 429"
wait_until shows 'show jobs where state = open' '^long '
ask 0 'show jobs where id = large'
said '^0 rows'
ask 0 'show refusals'
said 'large .*limit of waiting tokens'

# A request under way, servers, nodes, services and routes.
gateway_call g1 o1 /stream/x -d p >"$FLEET_DIR/stream" &
stream=$!
wait_until shows 'show requests' '^o1 '
wait_until shows 'show nodes where role = gateway' '^g2-.* up '
ask 0 'show servers where drained = false'
said "^$(fleet_address server-1) "
ask 0 'show services where service = model'
said '^model .* 1 .* 1'
ask 0 -o json 'show config'
said 'route.batch'
said '"revision": *3'

# What isn't understood, and what a gateway doesn't do.
ask 2 'show cows'
ask 1 'cancel job long'
said 'only shows'
wait_until gateway_has_results g1 long 4
wait $stream
wait_until shows 'show jobs where state = done' '^long '
echo "operators: answered"
