# The store is unavailable, refuses calls, loses answers and drops its history:
# online requests are still served, and no answer about a job is wrong.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin store store
gateway_config 1
gateway_server server-1 model --events 10
gateway_start g1
gateway_start g2
wait_until gateway_ready g1
wait_until gateway_ready g2
wait_until gateway_knows g1 server-1
wait_until gateway_knows g2 server-1

submit () {
	gateway_job 3 work "$2" >"$FLEET_DIR/job"
	gateway_status "$1" "$2" /batch/jobs --data-binary "@$FLEET_DIR/job"
}

online () {
	test "$(gateway_call g1 "$1" /stream/x -d p | grep -c '^data: ')" = 10 ||
		fleet_fail "an online request failed: $1"
}

# All answers to appends are lost: the job is still appended and run only once.
fleet_fault store kind=lose_answer
(submit g1 lost >"$FLEET_DIR/lost") &
online o1
sleep 2
fleet_fault store kind=none
wait $!
wait_until gateway_has_results g2 lost 3
sleep 0.5
test "$(gateway_results g1 lost)" = 3 ||
	fleet_fail "the job does not have 3 results"
echo "lost answers: run once, status $(test "$(cat "$FLEET_DIR/lost")" -eq 202 -o \
	"$(cat "$FLEET_DIR/lost")" -eq 504 && echo correct)"

# While the store refuses calls, jobs are refused at once with a Retry-After and
# don't exist afterwards; online requests are served.
fleet_fault store "kind=reject&status=503"
sleep 1.5
gateway_job 3 work refused >"$FLEET_DIR/job"
gateway_call g1 refused /batch/jobs --data-binary "@$FLEET_DIR/job" \
	-D "$FLEET_DIR/head" -o /dev/null -m 3
grep -q '^HTTP/1.1 503' "$FLEET_DIR/head" ||
	fleet_fail "a job was not answered 503"
grep -qi '^retry-after: ' "$FLEET_DIR/head" || fleet_fail "no Retry-After"
online o2
test "$(gateway_status g1 read '/lots/unheard?After=0')" = 503 ||
	fleet_fail "an unknown job was not answered 503 during the outage"
gateway_ready g1 || fleet_fail "not ready though online requests are served"
fleet_fault store kind=none
unknown () {
	test "$(gateway_status "$1" read '/lots/refused?After=0')" = 404
}

wait_until unknown g1
wait_until unknown g2
sleep 1
test "$(gateway_status g2 read '/lots/refused?After=0')" = 404 ||
	fleet_fail "a refused job was not answered 404"
echo "refused jobs: not in the log"

# A partition of the bulk topic is unavailable: its writes go to another one,
# and no job is refused.
fleet_fault store "kind=reject&status=503&only=Topic%3Dbulk%26part%3D1"
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16
do
	status=$(submit g1 "partly$i")
	test "$status" = 202 ||
		fleet_fail "status $status while a partition was unavailable"
done
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16
do
	wait_until gateway_has_results g2 "partly$i" 3
done
fleet_fault store kind=none
echo "partition unavailable: others used"

# The history of the platform's topics is dropped: the current values are read
# again.
curl -sf -X POST "http://$(fleet_address store)/drop?Topic=keyed.servers"
curl -sf -X POST "http://$(fleet_address store)/drop?Topic=keyed.op"
gateway_config 2
sleep 1.5
online o3
grep -q 'event=config.*version=2' "$FLEET_DIR/g1.log" ||
	fleet_fail "the new configuration isn't in force"
echo "dropped history: current values read"

# A malformed configuration and an older one are ignored.
gateway_put keyed.op config '{"Version":3'
gateway_config 1
sleep 1.5
online o4
grep -q 'event=config.*version=1 before' "$FLEET_DIR/g1.log" &&
	grep 'event=config' "$FLEET_DIR/g1.log" | tail -n 1 |
	grep -q 'version=1' && fleet_fail "an older configuration took effect"
echo "configuration: older and malformed ones ignored"

# A node that starts during an outage of the store is ready only after it.
fleet_fault store kind=outage
gateway_start g3
sleep 1
gateway_ready g3 && fleet_fail "ready without the store"
test "$(gateway_status g3 early /stream/x -d p)" = 503 ||
	fleet_fail "a node without a configuration did not answer 503"
fleet_fault store kind=none
wait_until gateway_ready g3
test "$(gateway_results g3 lost)" = 3 ||
	fleet_fail "a new node returns other results"
echo "started in an outage: ready after it"
