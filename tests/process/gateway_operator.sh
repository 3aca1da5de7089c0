# A gateway answers operators' show commands and refuses commands that change
# something.
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

# run_ctl STATUS COMMAND: runs briarplankctl, which must exit with the status.
run_ctl () {
	expected=$1
	shift
	"$BUILD/briarplankctl/briarplankctl" \
		-e "http://$(gateway_address g1 metrics)" "$@" \
		>"$FLEET_DIR/out" 2>&1 </dev/null
	got=$?
	test "$got" -eq "$expected" ||
		fleet_fail "$* ended with $got: $(cat "$FLEET_DIR/out")"
}

# expect_output PATTERN: the output of the last run_ctl must match.
expect_output () {
	grep -q -e "$1" "$FLEET_DIR/out" ||
		fleet_fail "no \"$1\" in: $(cat "$FLEET_DIR/out")"
}

# shows COMMAND PATTERN: tells whether the command's output matches.
shows () {
	"$BUILD/briarplankctl/briarplankctl" \
		-e "http://$(gateway_address g1 metrics)" "$1" </dev/null |
		grep -q -e "$2"
}

# Shows the jobs of all entries, and the refusals.
gateway_job 4 work long >"$FLEET_DIR/job"
test "$(gateway_status g2 long /batch/jobs --data-binary \
	"@$FLEET_DIR/job")" = 202 || fleet_fail "not accepted"
gateway_job 20 work large >"$FLEET_DIR/job"
test "$(gateway_status g1 large /batch/jobs --data-binary \
	"@$FLEET_DIR/job")" = 429 || fleet_fail "no 429"
wait_until shows 'show jobs where state = open' '^long '
run_ctl 0 'show jobs where id = large'
expect_output '^0 rows'
run_ctl 0 'show refusals'
expect_output 'large .*limit of waiting tokens'

# Shows a request in progress, nodes, servers, services and routes.
gateway_call g1 o1 /stream/x -d p >"$FLEET_DIR/stream" &
stream=$!
wait_until shows 'show requests' '^o1 '
wait_until shows 'show nodes where role = gateway' '^g2-.* up '
run_ctl 0 'show servers where drained = false'
expect_output "^$(fleet_address server-1) "
run_ctl 0 'show services where service = model'
expect_output '^model .* 1 .* 1'
run_ctl 0 -o json 'show config'
expect_output 'route.batch'
expect_output '"revision": *3'

# Refuses an unknown subject and a command that a gateway doesn't support.
run_ctl 2 'show nosuch'
run_ctl 1 'cancel job long'
expect_output 'only shows'
wait_until gateway_has_results g1 long 4
wait $stream
wait_until shows 'show jobs where state = done' '^long '
echo "operators: commands answered"
