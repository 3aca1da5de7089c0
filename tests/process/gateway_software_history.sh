# Guards against refusing streams that callers take up after all entries have restarted,
# although the service has had one software version all the time.
FLEET_WAIT_MS=60000
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

gateway_pair
gateway_software_server server-1 1 --events 5
for node in g1 g2
do
	wait_until gateway_knows $node server-1
done
! gateway_resumes g1 earlier || fleet_fail "a new fleet took up a stream that it can't know"
echo "new: refused"

# The only version has been listed for as long as streams are remembered.
wait_until gateway_resumes g1 earlier
for node in g1 g2
do
	fleet_signal $node KILL
done
for node in g1 g2
do
	gateway_start $node
	wait_until gateway_ready $node
done
FLEET_WAIT_MS=5000
wait_until gateway_resumes g1 earlier
wait_until gateway_resumes g2 earlier
echo "restarted: taken up"

# A second version comes and goes while one entry is away.
fleet_signal g2 KILL
gateway_software_server server-2 2 --events 5
wait_until gateway_knows g1 server-2
wait_until grep -q 'service=model software=0000000000000000' "$FLEET_DIR/g1.log"
gateway_put keyed.servers "$(fleet_address server-2)" ""
wait_until grep -q "event=server id=$(fleet_address server-2) unlisted" "$FLEET_DIR/g1.log"
gateway_start g2
wait_until gateway_ready g2
wait_until grep -q 'event=server id=.* ready' "$FLEET_DIR/g2.log"
for i in 1 2 3 4 5
do
	! gateway_resumes g2 earlier || fleet_fail "a stream went on that may be of the other version"
done
echo "second version: refused"
