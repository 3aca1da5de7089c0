# Guards against a late answer to a job's submission when the store does not wake
# the long poll that awaits its record.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

gateway_alone
gateway_server server-1 model --events 3
wait_until gateway_knows g1 server-1

fleet_fault store kind=stall
for i in 1 2 3 4 5 6
do
	test "$(gateway_status g1 "job-$i" /batch/x \
		-H 'Content-Type: application/json' \
		-d "$(gateway_job 1 work "$i")")" = 202 ||
		fleet_fail "job $i was not accepted"
done
# A long poll that ends by itself soon after an append is not overdue.
grep -q 'event=job_index read is overdue' "$FLEET_DIR/g1.log" ||
	fleet_fail "all jobs waited for the end of the long poll"
fleet_fault store kind=none
wait_until gateway_has_results g1 job-6 1
echo "six jobs: accepted before the long poll ended"
