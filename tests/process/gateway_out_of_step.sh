# Guards against a stream that goes on at another software version than the one that began
# it, as its caller takes it up at an entry that stood still, and couldn't read the list of
# servers, while the new version joined.
FLEET_WAIT_MS=60000
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

STREAMS='1 2 3 4 5 6 7 8 9 10 11 12'
NODES='g1 g2 g3 g4 g5'

# resume NODE STREAM: takes up a stream, and prints the status and the versions of its
# events.
resume () {
	status=$(gateway_status "$1" "again-$2-$1" /stream/x -d p \
		-H 'Last-Event-Id: 3' -H "Resumes: try-$2") || true
	echo "$status" $(grep -o -- '-v[0-9]*' "$FLEET_DIR/body" | sort -u)
}

gateway_pair
for node in g3 g4 g5
do
	gateway_start $node
done
for node in $NODES
do
	wait_until gateway_ready $node
done
gateway_software_server server-1 1 --slots 40 --events 20 --event-ms 10
for node in $NODES
do
	wait_until gateway_knows $node server-1
done
# The only version has been listed for as long as streams are remembered.
sole () {
	test "$(gateway_status g2 sole /stream/x -d p -H 'Last-Event-Id: 3' \
		-H 'Resumes: earlier')" = 200
}
wait_until sole

fleet_signal g2 STOP
gateway_software_server server-2 2 --slots 40 --events 20 --event-ms 10
wait_until gateway_knows g1 server-2
for i in $STREAMS
do
	gateway_call g1 "try-$i" /stream/x -N -d "hold 3" >"$FLEET_DIR/try-$i" &
done
begun () {
	for i in $STREAMS
	do
		grep -q "^data: try-$i-3" "$FLEET_DIR/try-$i" || return 1
	done
}
wait_until begun
gateway_hold keyed.servers 1
fleet_fault server-1 kind=kill_streams
fleet_fault server-2 kind=kill_streams
fleet_signal g2 CONT
of_new=0
for i in $STREAMS
do
	version=$(grep -o -- '-v[0-9]*' "$FLEET_DIR/try-$i" | sort -u)
	test "$version" = -v2 && of_new=$((of_new + 1))
	answer=$(resume g2 "$i")
	case "$answer" in
	"200 $version"|503*) ;;
	*) fleet_fail "try-$i of $version was taken up: $answer" ;;
	esac
done
test "$of_new" -ge 3 || fleet_fail "only $of_new streams began at the new version"
echo "out of step: each went on at its version, or was refused"

# Once the entry can read the list again, the streams go on.
gateway_hold keyed.servers 0
wait_until gateway_knows g2 server-2
for i in $STREAMS
do
	version=$(grep -o -- '-v[0-9]*' "$FLEET_DIR/try-$i" | sort -u)
	expect "try-$i" "$(resume g2 "$i")" "200 $version"
done
