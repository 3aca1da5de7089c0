# Guards against telling a caller that its request has not run, as its server has answered
# with such a status without saying that it has not run it.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

gateway_alone
gateway_server server-1 model
gateway_server server-2 desk --plain on
wait_until gateway_knows g1 server-1
wait_until gateway_knows g1 server-2

for status in 503 429 408
do
	expect "once, $status" \
		"$(gateway_status g1 "once-$status" /once/x -d "fail $status" -D "$FLEET_DIR/head"), $(gateway_runs "once-$status") run" \
		"502, 1 run"
	grep -qi '^x-server-signature' "$FLEET_DIR/head" &&
		fleet_fail "another status bears the server's signature"
done
# A request that may run again is told what its server said.
for status in 429 408
do
	expect "plain, $status" \
		"$(gateway_status g1 "plain-$status" /plain/x -d "fail $status")" "$status"
done
expect "once, 500" "$(gateway_status g1 once-500 /once/x -d 'fail 500')" 500
