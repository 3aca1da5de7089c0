# Guards against streams that go on at the wrong service because the weights of their route
# changed while all nodes were away: the nodes that start see only the new ones.
FLEET_WAIT_MS=60000
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

restart () {
	for node in g1 g2
	do
		fleet_signal $node KILL
	done
	test $# -eq 0 || "$@"
	for node in g1 g2
	do
		gateway_start $node
		wait_until gateway_ready $node
	done
}

GATEWAY_WEIGHTS='1 1'
gateway_pair
gateway_server server-1 model --events 5
gateway_server server-2 model-b --events 5
for node in g1 g2
do
	wait_until gateway_knows $node server-1
	wait_until gateway_knows $node server-2
done
! gateway_resumes g1 earlier || fleet_fail "a new fleet took up a stream that it can't know"

# The weights and the versions have been the same for as long as streams are remembered.
wait_until gateway_resumes g1 earlier
restart
FLEET_WAIT_MS=5000
for node in g1 g2
do
	wait_until gateway_resumes $node earlier
done
echo "restarted: taken up"

# A stream whose caller doesn't name its first attempt can't be told the service.
test "$(gateway_status g1 nameless /stream/x -d p -H 'Last-Event-Id: 2')" = 503 ||
	fleet_fail "a stream of either service was taken up"
echo "nameless: refused"

GATEWAY_WEIGHTS='9 1'
restart gateway_config 2
for node in g1 g2
do
	wait_until grep -q 'event=config version=2 ' "$FLEET_DIR/$node.log"
	wait_until grep -q 'event=software versions read' "$FLEET_DIR/$node.log"
	for i in 1 2 3 4
	do
		! gateway_resumes $node "earlier-$i" ||
			fleet_fail "$node took up a stream by weights that are new"
	done
done
echo "weights changed meanwhile: refused"
