# Guards against the entry that accepted a job reading the bodies of its items
# back from the store before it runs them.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

gateway_alone
gateway_server server-1 model --events 3
wait_until gateway_knows g1 server-1

# The first body of a partition is at offset 0, which nothing else reads until the
# item is done.
fleet_fault store "kind=reject&status=503&only=From=0%26"
test "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1)")" = 202 || fleet_fail "the job was not accepted"
wait_until grep -q 'item=item-1 done' "$FLEET_DIR/g1.log"
grep -q 'event=job_bulk .* read failed' "$FLEET_DIR/g1.log" &&
	fleet_fail "a body was read from the store"
echo "accepted: runs without a read"
