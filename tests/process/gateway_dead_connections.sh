# Guards against quarantining the parts of prompts whose requests were sent to servers
# that had ended before, which held items until their job expired.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin raw raw
gateway_alone
for i in 1 2 3 4
do
	gateway_raw_server "dead-$i" model reset ''
	wait_until gateway_knows_raw g1 "dead-$i"
done

# Each request is sent to a server that resets its connection without a response.
for i in 1 2 3 4 5 6 7 8
do
	status=$(gateway_status g1 "o$i" /once/x -d p \
		-H "X-Prompt-Prefix: 0a0a0a:50,$i:9" || true)
	test "$status" != 503 || fleet_fail "request $i was refused"
done
for i in 1 2 3 4
do
	test "$(gateway_raw_count "dead-$i" accepted)" -ge 1 ||
		fleet_fail "server $i got no request"
done
if grep -q 'event=quarantine part=' "$FLEET_DIR/g1.log"
then
	fleet_fail "a part was quarantined"
fi
echo "dead servers: no part quarantined"
