# In a region with many entries only a few, the readers, follow the job index in
# the store; the others follow it at a reader, from their start on. Pattern: a
# whole fleet starts at once, and each entry read the whole index by itself.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

GATEWAY_READERS=4
NODES="g1 g2 g3 g4 g5 g6"
fleet_standin store store
gateway_config 1
gateway_server server-1 model --events 5 --slots 8

start_all () {
	for node in $NODES
	do
		gateway_start $node
	done
	for node in $NODES
	do
		wait_until gateway_ready $node
	done
}

# Prints the nodes whose last choice for the index is another entry.
followers () {
	for node in $NODES
	do
		grep 'event=directory job index' "$FLEET_DIR/$node.log" |
			tail -n 1 | grep -q 'follows the entry' && echo $node
	done
}

has_followers () {
	test "$(followers | wc -l)" -ge "$1"
}

submit () {
	gateway_job 3 work "$2" >"$FLEET_DIR/job"
	gateway_status "$1" "$2" /batch/jobs --data-binary "@$FLEET_DIR/job"
}

# all_have JOB: waits until all nodes return the job's results.
all_have () {
	for node in $NODES
	do
		wait_until gateway_has_results $node "$1" 3
	done
}

start_all
wait_until has_followers 3
test "$(submit g1 one)" = 202 || fleet_fail "not accepted"
test "$(submit g6 two)" = 202 || fleet_fail "not accepted"
all_have one
all_have two
echo "jobs: readable at all entries"

# All entries are killed and start again. Those that follow a reader get the
# whole index from it, and don't read it in the store.
for node in $NODES
do
	fleet_signal $node KILL
done
start_all
wait_until has_followers 3
all_have one
all_have two
for node in $(followers)
do
	grep -q 'event=job_index loaded' "$FLEET_DIR/$node.log" ||
		fleet_fail "$node has not loaded the index"
done
echo "all entries killed: jobs readable again"

# The reader of an entry freezes. Its followers go on with another one.
follower=$(followers | head -n 1)
asked=$(sed -n 's/.*job index follows the entry at //p' \
	"$FLEET_DIR/$follower.log" | tail -n 1)
for node in $NODES
do
	port=$(sed -n 's/.*event=start.* directory=\([0-9]*\).*/\1/p' \
		"$FLEET_DIR/$node.log" | tail -n 1)
	test "127.0.0.1:$port" = "$asked" && frozen=$node
done
fleet_signal "$frozen" STOP
NODES=$(echo "$NODES" | sed "s/$frozen//")
test "$(submit "$follower" three)" = 202 || fleet_fail "not accepted"
all_have three
echo "a reader is frozen: the others continue"
fleet_signal "$frozen" CONT
