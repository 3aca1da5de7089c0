# Guards against items whose output has no bytes being listed as dead-lettered, or
# starting over when another node goes on with them (review/14).
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

gateway_pair
gateway_server server-1 model --bare on --events 1
wait_until gateway_knows g1 server-1
wait_until gateway_knows g2 server-1

submit () {
	gateway_job "$3" "${4:-work}" "$2" >"$FLEET_DIR/job"
	gateway_status "$1" "$2" /batch/jobs --data-binary "@$FLEET_DIR/job"
}

# empty NODE JOB COUNT: all results are completed, with an output of no bytes.
empty () {
	wait_until gateway_has_results "$1" "$2" "$3"
	gateway_call "$1" read "/lots/$2?After=0" >"$FLEET_DIR/page"
	test "$(grep -o '"State":"completed","Output":""' "$FLEET_DIR/page" |
		wc -l)" = "$3" ||
		fleet_fail "$1 lists $(cat "$FLEET_DIR/page")"
}

# Both nodes read the outputs from the store first and have them at hand the second time.
test "$(submit g1 one 6)" = 202 || fleet_fail "not accepted"
for node in g1 g2 g1 g2
do
	empty $node one 6
done
echo "output: completed and empty at both nodes"

# An item whose body has no bytes is run, and its body can be read until then.
gateway_list server-1 model draining
wait_until gateway_listed g1 "$(fleet_address server-1)" draining 1
wait_until gateway_listed g2 "$(fleet_address server-1)" draining 1
printf '{"Items":[{"Id":"bare-1","Path":"/batch/1","Headers":{},"Body":"","Tokens":1}]}' \
	>"$FLEET_DIR/job"
test "$(gateway_status g1 bare /batch/jobs --data-binary "@$FLEET_DIR/job")" = 202 ||
	fleet_fail "not accepted"
has_bare () {
	test "$(gateway_status "$1" read '/items/bare?Id=bare-1')" = 200
}
for node in g1 g2
do
	wait_until has_bare $node
	test ! -s "$FLEET_DIR/body" || fleet_fail "$node returns another body"
done
gateway_list server-1 model
empty g2 bare 1
echo "body: empty"

# Nodes that start again read the jobs of before from the store.
fleet_signal g1 KILL
fleet_signal g2 KILL
gateway_start g1
wait_until gateway_ready g1
empty g1 one 6
gateway_start g2
wait_until gateway_ready g2
for node in g1 g2
do
	wait_until gateway_knows $node server-1
done
echo "restarted: still completed"

# A rejected item is still listed as given up.
test "$(submit g1 rejected 1 'fail 422')" = 202 || fleet_fail "not accepted"
wait_until gateway_has_results g2 rejected 1
gateway_call g2 read '/lots/rejected?After=0' |
	grep -q '"State":"dead_lettered","Output":""' ||
	fleet_fail "a rejected item is not listed as given up"
echo "rejected: dead-lettered"

# Saved progress of no bytes is progress: the node that takes the item over goes on
# after its event.
gateway_list server-1 model draining
gateway_server server-2 model --bare on --events 2
for node in g1 g2
do
	wait_until gateway_knows $node server-2
	wait_until grep -q "id=$(fleet_address server-1) .* draining" \
		"$FLEET_DIR/$node.log"
done
test "$(submit g1 moved 1 'hold 1')" = 202 || fleet_fail "not accepted"
wait_until gateway_holds server-2 moved-1
# What the server sends later has reached the node, and so has the event.
test "$(gateway_status g1 later /once/x -d p)" = 200 || fleet_fail "a stream was not served"
fleet_signal g1 TERM
wait_until gateway_has_results g2 moved 1
gateway_call g2 read '/lots/moved?After=0' |
	grep -q '"State":"completed","Output":"\\n"' ||
	fleet_fail "the output of the item that moved is not whole"
grep -q 'event=item job=moved item=moved-1 server=.* after_event=1' \
	"$FLEET_DIR/g2.log" || fleet_fail "the item started over"
echo "taken over: goes on after an event without text"
