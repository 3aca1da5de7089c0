# Batch jobs over several gateways: accepted once, read everywhere, ended,
# limited; items that fail, and a node that is killed or stopped midway.
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

# A job is accepted once, wherever it comes again, and read at every node.
test "$(submit g1 one 6)" = 202 || fleet_fail "not accepted"
test "$(submit g2 one 6)" = 202 || fleet_fail "a repeat is no 202"
wait_until gateway_has_results g3 one 6
sleep 0.5
for node in g1 g2 g3
do
	gateway_call $node read "/lots/one?After=0" >"$FLEET_DIR/$node.page"
	cmp "$FLEET_DIR/g1.page" "$FLEET_DIR/$node.page" ||
		fleet_fail "$node lists other results than g1"
done
test "$(grep -o '"completed"' "$FLEET_DIR/g1.page" | wc -l)" = 6 ||
	fleet_fail "not all items are done"
expected=$(seq 1 40 | sed 's/^/one-1-/' | paste -s -d@ - | sed 's/@/\\\\n/g')
grep -q "\"Output\":\"$expected\"" "$FLEET_DIR/g1.page" ||
	fleet_fail "an output isn't the item's whole text"
test "$(gateway_call g2 read "/lots/one?After=4" | grep -o '"Id"' | wc -l)" = 2 ||
	fleet_fail "a later position has other results"
echo "job: done once, read everywhere"

# What fails ends dead after three runs over all nodes; what can't be done
# after one.
test "$(submit g2 bad 1 'fail 500')" = 202 || fleet_fail "not accepted"
test "$(submit g3 never 1 'fail 422')" = 202 || fleet_fail "not accepted"
wait_until gateway_has_results g1 bad 1
wait_until gateway_has_results g1 never 1
gateway_call g1 read "/lots/bad?After=0" | grep -q dead_lettered ||
	fleet_fail "a failing item isn't dead"
test "$(gateway_runs bad-1)" = 3 ||
	fleet_fail "a failing item ran $(gateway_runs bad-1) times"
test "$(gateway_runs never-1)" = 1 ||
	fleet_fail "an impossible item ran $(gateway_runs never-1) times"
echo "failing items: dead after 3 runs and 1"

# The limit of waiting tokens holds over all nodes; bodies can be read.
test "$(submit g1 large 90)" = 202 || fleet_fail "a job that fits is refused"
test "$(submit g2 larger 90)" = 429 || fleet_fail "no 429 over the limit"
test "$(gateway_call g3 read '/items/large?Id=large-90')" = work ||
	fleet_fail "no body of an item that waits"
test "$(gateway_status g3 read '/items/large?Id=none')" = 404 ||
	fleet_fail "a body of an item that doesn't exist"
test "$(gateway_status g3 read '/lots/larger?After=0')" = 404 ||
	fleet_fail "a refused job exists"

# After its end a job runs nothing, and there is room again.
test "$(gateway_status g2 end /lots/large -X DELETE)" = 200 ||
	fleet_fail "not ended"
test "$(gateway_status g3 end /lots/large -X DELETE)" = 200 ||
	fleet_fail "ended again, it is no 200"
sleep 0.5
before=$(gateway_metric g1 briarplank_item_runs_total)
sleep 0.5
test "$(gateway_metric g1 briarplank_item_runs_total)" = "$before" ||
	fleet_fail "items run after the end"
test "$(submit g2 larger 60)" = 202 || fleet_fail "no room after the end"
test "$(gateway_status g2 end /lots/larger -X DELETE)" = 200 ||
	fleet_fail "not ended"
echo "limit and end: kept"

# Bad jobs are refused as a whole.
test "$(gateway_status g1 x1 /batch/jobs -d '{"Items":[')" = 400 ||
	fleet_fail "no 400"
test "$(submit g1 x2 201)" = 400 || fleet_fail "201 items are no 400"

# A node that is killed loses nothing: the others go on from what it saved.
test "$(submit g1 killed 16)" = 202 || fleet_fail "not accepted"
sleep 1
fleet_signal g1 KILL
wait_until gateway_has_results g2 killed 16
test "$(gateway_call g2 read '/lots/killed?After=0' |
	grep -o '"completed"' | wc -l)" = 16 || fleet_fail "not all done"
echo "killed: all done"

# A node that stops hands its items over, and they go on behind the last event.
test "$(submit g2 stopped 16)" = 202 || fleet_fail "not accepted"
sleep 0.6
fleet_signal g2 TERM
wait_until gateway_has_results g3 stopped 16
gateway_call g3 read '/lots/stopped?After=0' >"$FLEET_DIR/page"
test "$(grep -o '"completed"' "$FLEET_DIR/page" | wc -l)" = 16 ||
	fleet_fail "not all done"
grep -q 'event=item job=stopped .*after_event=[1-9]' "$FLEET_DIR/g3.log" ||
	fleet_fail "nothing went on behind a saved event"
wait "$(fleet_pid g2)" || fleet_fail "the stop was not graceful"
echo "stopped: handed over"

# The logs of all nodes tell one item's way.
"$BUILD/briarplankctl/briarplankctl" --trace killed-1 "$FLEET_DIR"/g?.log \
	>"$FLEET_DIR/trace" || fleet_fail "no trace"
grep -q 'event=start' "$FLEET_DIR/trace" || fleet_fail "no start of a node"
grep -q 'event=item job=killed item=killed-1 done' "$FLEET_DIR/trace" ||
	fleet_fail "no end of the item"
grep 'event=item' "$FLEET_DIR/trace" | grep -v 'item=killed-1 ' &&
	fleet_fail "lines of another item"
sort -c "$FLEET_DIR/trace" || fleet_fail "not in the order of time"
"$BUILD/briarplankctl/briarplankctl" --trace nobody "$FLEET_DIR"/g?.log
test $? -eq 1 || fleet_fail "an unknown id is no 1"
echo "trace: whole"
