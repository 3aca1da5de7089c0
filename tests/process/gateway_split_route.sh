# Guards against streams that are refused, or go on at another service, when callers take
# them up after the weights of their route have changed (review/15); items likewise.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

# Events of the service model end with -v1, those of model-b with -v2; both run the same
# version of software.
service_server () {
	gateway_server "$1" "$2" --software "$3" --events 40
	for node in g1 g2 g3
	do
		wait_until gateway_knows "$node" "$1"
	done
}

# whole FILE MARK: a text has events of this service and of no other.
whole () {
	test "$(grep -o -- '-v[0-9]*' "$1" | sort -u)" = "$2" ||
		fleet_fail "$1 has not events of $2 only: $(cat "$1")"
}

# begin NODE ID: begins a stream that is held after its fifth event.
begin () {
	(
		gateway_call "$1" "$2" /stream/x -N -d 'hold 5' >"$FLEET_DIR/$2" || true
	) &
	wait_until grep -q "^data: $2-5" "$FLEET_DIR/$2"
}

# goes_on NODE ID: the stream with this id is taken up and goes on at its service.
goes_on () {
	mark=$(grep -o -- '-v[0-9]*' "$FLEET_DIR/$2" | sort -u)
	status=$(gateway_status "$1" "$2-again" /stream/x -d p \
		-H 'Last-Event-Id: 5' -H "Resumes: $2" || true)
	test "$status" = 200 || fleet_fail "$1: $2 was not taken up: $status"
	whole "$FLEET_DIR/body" "$mark"
	grep -q "^data: $2-again-40" "$FLEET_DIR/body" || fleet_fail "$1: $2 is not whole"
}

# weights VERSION "W W": changes the weights, which all nodes in NODES apply.
weights () {
	GATEWAY_WEIGHTS=$2
	gateway_config "$1"
	for node in $NODES
	do
		wait_until grep -q "event=config version=$1 " "$FLEET_DIR/$node.log"
	done
}

NODES='g1 g2 g3'
gateway_pair
gateway_start g3
wait_until gateway_ready g3
weights 2 '1 1'
service_server server-1 model 1
service_server server-2 model-b 2
service_server server-3 model 1
service_server server-4 model-b 2

# Both services begin some of the streams; then one gets nearly all requests. The callers
# come to the node that began the stream, to another one, and, after the first has been
# killed, to the others.
ids='1 2 3 4 5 6 7 8'
for i in $ids
do
	begin g1 "try-$i"
done
cat "$FLEET_DIR"/try-* | grep -q -- -v1 || fleet_fail "no stream began at model"
cat "$FLEET_DIR"/try-* | grep -q -- -v2 || fleet_fail "no stream began at model-b"
weights 3 '1 99'
for i in $ids
do
	goes_on g$((i % 3 + 1)) "try-$i"
done
weights 4 '99 1'
fleet_signal g1 KILL
NODES='g2 g3'
for i in $ids
do
	goes_on g$((i % 2 + 2)) "try-$i"
done
echo "weights changed: streams went on at their services"

# A node that starts now never saw the weights of that time.
fleet_signal g3 KILL
gateway_start g3
wait_until gateway_ready g3
for server in server-1 server-2 server-3 server-4
do
	wait_until gateway_knows g3 "$server"
done
for i in $ids
do
	goes_on g3 "try-$i"
done
echo "started later: streams went on at their services"

# Items go on at the service that wrote their output.
test "$(gateway_status g2 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 6 'hold 20')")" = 202 || fleet_fail "the job was not accepted"
for i in 1 2 3 4 5 6
do
	wait_until grep -q "item=item-$i saved after_event=" "$FLEET_DIR/g2.log"
done
weights 5 '1 99'
for i in 1 2 3 4
do
	fleet_fault "server-$i" kind=kill_streams
done
wait_until gateway_has_results g2 job-1 6
! grep -q 'event=item job=job-1 .* starts over' "$FLEET_DIR"/g[23].log ||
	fleet_fail "an item started over"
for i in 1 2 3 4 5 6
do
	gateway_call g2 read "/lots/job-1?After=0" |
		grep -o '"Id":"item-'$i'"[^}]*' >"$FLEET_DIR/item-$i"
	grep -q completed "$FLEET_DIR/item-$i" || fleet_fail "item-$i is not completed"
	whole "$FLEET_DIR/item-$i" "$(grep -o -- '-v[0-9]*' "$FLEET_DIR/item-$i" | head -n 1)"
done
echo "items: went on at their services"

# The route has left a service: its streams can't go on, those of the other do.
weights 6 '0 1'
for i in $ids
do
	if grep -q -- -v2 "$FLEET_DIR/try-$i"
	then
		goes_on g2 "try-$i"
		continue
	fi
	status=$(gateway_status g2 "left-$i" /stream/x -d p \
		-H 'Last-Event-Id: 5' -H "Resumes: try-$i" || true)
	test "$status" = 503 || fleet_fail "a stream of the other service got $status"
done
grep -q 'outcome="the service that began the stream no longer serves the route"' \
	"$FLEET_DIR/g2.log" || fleet_fail "the reason is not in the log"
echo "service left: refused"
