# The platform's store is away, refuses, loses answers and drops its history:
# online requests go on, and what is said of jobs stays true.
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

# Every answer of an append is lost: the job is in the log once, and done once.
fleet_fault store kind=lose_answer
(submit g1 lost >"$FLEET_DIR/lost") &
online o1
sleep 2
fleet_fault store kind=none
wait $!
wait_until gateway_has_results g2 lost 3
sleep 0.5
test "$(gateway_results g1 lost)" = 3 || fleet_fail "results twice"
echo "lost answers: done once, told $(test "$(cat "$FLEET_DIR/lost")" -eq 202 -o \
	"$(cat "$FLEET_DIR/lost")" -eq 504 && echo truly)"

# While it refuses, jobs are refused at once with a time to come back, and are
# not there afterwards; online requests are served.
fleet_fault store "kind=reject&status=503"
sleep 1.5
gateway_job 3 work refused >"$FLEET_DIR/job"
gateway_call g1 refused /batch/jobs --data-binary "@$FLEET_DIR/job" \
	-D "$FLEET_DIR/head" -o /dev/null -m 3
grep -q '^HTTP/1.1 503' "$FLEET_DIR/head" || fleet_fail "no 503"
grep -qi '^retry-after: ' "$FLEET_DIR/head" || fleet_fail "no Retry-After"
online o2
test "$(gateway_status g1 read '/lots/unheard?After=0')" = 503 ||
	fleet_fail "a node that can't be sure must answer 503"
gateway_ready g1 || fleet_fail "not ready though online requests are served"
fleet_fault store kind=none
unknown () {
	test "$(gateway_status "$1" read '/lots/refused?After=0')" = 404
}

wait_until unknown g1
wait_until unknown g2
sleep 1
test "$(gateway_status g2 read '/lots/refused?After=0')" = 404 ||
	fleet_fail "a refused job exists"
echo "refusals: true"

# Some partitions of the bulk topic are away: what would go there goes to
# another one, and no job is refused for it.
fleet_fault store "kind=reject&status=503&only=Topic%3Dbulk%26part%3D1"
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16
do
	status=$(submit g1 "partly$i")
	test "$status" = 202 ||
		fleet_fail "a job was answered $status while a partition was away"
done
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16
do
	wait_until gateway_has_results g2 "partly$i" 3
done
fleet_fault store kind=none
echo "partitions away: others used"

# The history of the platform's topics is dropped; what holds is read anew.
curl -sf -X POST "http://$(fleet_address store)/drop?Topic=keyed.servers"
curl -sf -X POST "http://$(fleet_address store)/drop?Topic=keyed.op"
gateway_config 2
sleep 1.5
online o3
grep -q 'event=config.*version=2' "$FLEET_DIR/g1.log" ||
	fleet_fail "the new configuration isn't in force"
echo "dropped history: read anew"

# A configuration that can't be read changes nothing, and an older one neither.
gateway_put keyed.op config '{"Version":3'
gateway_config 1
sleep 1.5
online o4
grep -q 'event=config.*version=1 before' "$FLEET_DIR/g1.log" &&
	grep 'event=config' "$FLEET_DIR/g1.log" | tail -n 1 |
	grep -q 'version=1' && fleet_fail "the configuration went back"
echo "configuration: never back"

# A node that starts while the store is away isn't ready, and is soon after.
fleet_fault store kind=outage
gateway_start g3
sleep 1
gateway_ready g3 && fleet_fail "ready without the store"
test "$(gateway_status g3 early /stream/x -d p)" = 503 ||
	fleet_fail "no 503 from a node that knows nothing"
fleet_fault store kind=none
wait_until gateway_ready g3
test "$(gateway_results g3 lost)" = 3 ||
	fleet_fail "a new node lists other results"
echo "started in an outage: ready afterwards"
