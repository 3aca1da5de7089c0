# Batch jobs on three gateways: a job is accepted once, readable at every node,
# limited and ended; failing items are dead-lettered; the jobs of a node that is
# killed or stopped are taken over.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin store store
gateway_config 1 10000
gateway_server server-1 model --events 40 --event-ms 15 --slots 4
gateway_server server-2 model --events 40 --event-ms 15 --slots 4
for node in g1 g2 g3
do
	gateway_start $node
done
for node in g1 g2 g3
do
	wait_until gateway_ready $node
	wait_until gateway_knows $node server-1
	wait_until gateway_knows $node server-2
done

submit () {
	gateway_job "$3" "${4:-work}" "$2" >"$FLEET_DIR/job"
	gateway_status "$1" "$2" /batch/jobs --data-binary "@$FLEET_DIR/job"
}

# A job submitted again at another node is accepted once, and all nodes return
# the same results.
test "$(submit g1 one 6)" = 202 || fleet_fail "not accepted"
test "$(submit g2 one 6)" = 202 ||
	fleet_fail "a repeated submission was not answered 202"
wait_until gateway_has_results g3 one 6
sleep 0.5
for node in g1 g2 g3
do
	gateway_call $node read "/lots/one?After=0" >"$FLEET_DIR/$node.page"
	cmp "$FLEET_DIR/g1.page" "$FLEET_DIR/$node.page" ||
		fleet_fail "$node returns other results than g1"
done
test "$(grep -o '"completed"' "$FLEET_DIR/g1.page" | wc -l)" = 6 ||
	fleet_fail "not all items are done"
expected=$(seq 1 40 | sed 's/^/one-1-/' | paste -s -d@ - | sed 's/@/\\\\n/g')
grep -q "\"Output\":\"$expected\"" "$FLEET_DIR/g1.page" ||
	fleet_fail "an output is not the item's complete text"
test "$(gateway_call g2 read "/lots/one?After=4" | grep -o '"Id"' | wc -l)" = 2 ||
	fleet_fail "a read from position 4 did not return 2 results"
echo "job: accepted once, same results at all nodes"

# An item that fails with 500 is dead-lettered after three runs in total on all
# nodes, and one that is rejected with 422 after one run.
test "$(submit g2 bad 1 'fail 500')" = 202 || fleet_fail "not accepted"
test "$(submit g3 never 1 'fail 422')" = 202 || fleet_fail "not accepted"
wait_until gateway_has_results g1 bad 1
wait_until gateway_has_results g1 never 1
gateway_call g1 read "/lots/bad?After=0" | grep -q dead_lettered ||
	fleet_fail "a failing item was not dead-lettered"
test "$(gateway_runs bad-1)" = 3 ||
	fleet_fail "a failing item ran $(gateway_runs bad-1) times"
test "$(gateway_runs never-1)" = 1 ||
	fleet_fail "a rejected item ran $(gateway_runs never-1) times"
echo "failing items: dead-lettered after 3 runs and 1 run"

# The limit of waiting tokens holds across nodes, and item bodies can be read.
test "$(submit g1 large 90)" = 202 ||
	fleet_fail "a job within the limit was refused"
test "$(submit g2 larger 90)" = 429 || fleet_fail "no 429 over the limit"
# Another node knows a job at most a second after it was accepted.
has_body () {
	test "$(gateway_call g3 read '/items/large?Id=large-90')" = work
}

usual_wait_ms=$FLEET_WAIT_MS
FLEET_WAIT_MS=1000
wait_until has_body
FLEET_WAIT_MS=$usual_wait_ms
test "$(gateway_status g3 read '/items/large?Id=none')" = 404 ||
	fleet_fail "an unknown item was not answered 404"
test "$(gateway_status g3 read '/lots/larger?After=0')" = 404 ||
	fleet_fail "a refused job was not answered 404"

# No item of an ended job runs, and its tokens no longer count.
test "$(gateway_status g2 end /lots/large -X DELETE)" = 200 ||
	fleet_fail "not ended"
test "$(gateway_status g3 end /lots/large -X DELETE)" = 200 ||
	fleet_fail "a repeated end was not answered 200"
sleep 0.5
before=$(gateway_metric g1 briarplank_item_runs_total)
sleep 0.5
test "$(gateway_metric g1 briarplank_item_runs_total)" = "$before" ||
	fleet_fail "items run after the end"
test "$(submit g2 larger 60)" = 202 ||
	fleet_fail "a job was refused after the other had ended"
test "$(gateway_status g2 end /lots/larger -X DELETE)" = 200 ||
	fleet_fail "not ended"
echo "limit and end: enforced"

# Malformed and oversized jobs are refused.
test "$(gateway_status g1 x1 /batch/jobs -d '{"Items":[')" = 400 ||
	fleet_fail "a malformed job was not answered 400"
test "$(submit g1 x2 201)" = 400 ||
	fleet_fail "a job of 201 items was not answered 400"

# After a node is killed the others complete its job from the saved progress.
test "$(submit g1 killed 16)" = 202 || fleet_fail "not accepted"
sleep 1
fleet_signal g1 KILL
wait_until gateway_has_results g2 killed 16
test "$(gateway_call g2 read '/lots/killed?After=0' |
	grep -o '"completed"' | wc -l)" = 16 || fleet_fail "not all done"
echo "killed node: all items done"

# A node that stops hands its items over, and they resume after the last event.
test "$(submit g2 stopped 16)" = 202 || fleet_fail "not accepted"
sleep 0.6
fleet_signal g2 TERM
wait_until gateway_has_results g3 stopped 16
gateway_call g3 read '/lots/stopped?After=0' >"$FLEET_DIR/page"
test "$(grep -o '"completed"' "$FLEET_DIR/page" | wc -l)" = 16 ||
	fleet_fail "not all done"
grep -q 'event=item job=stopped .*after_event=[1-9]' "$FLEET_DIR/g3.log" ||
	fleet_fail "no item resumed after a saved event"
wait "$(fleet_pid g2)" || fleet_fail "the stopped node exited with an error"
echo "stopped node: items handed over"

# briarplankctl --trace prints the log lines of one item from all nodes.
"$BUILD/briarplankctl/briarplankctl" --trace killed-1 "$FLEET_DIR"/g?.log \
	>"$FLEET_DIR/trace" || fleet_fail "--trace failed"
grep -q 'event=start' "$FLEET_DIR/trace" ||
	fleet_fail "the trace lacks the start of a node"
grep -q 'event=item job=killed item=killed-1 done' "$FLEET_DIR/trace" ||
	fleet_fail "the trace lacks the end of the item"
grep 'event=item' "$FLEET_DIR/trace" | grep -v 'item=killed-1 ' &&
	fleet_fail "the trace has lines of another item"
sort -c "$FLEET_DIR/trace" || fleet_fail "the trace is not ordered by time"
"$BUILD/briarplankctl/briarplankctl" --trace nobody "$FLEET_DIR"/g?.log
test $? -eq 1 || fleet_fail "--trace of an unknown id did not exit with 1"
echo "trace: complete"
