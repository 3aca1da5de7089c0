# Guards against requests that a stopping gateway takes, passes on and then ends without an
# answer: callers send them one after the other until the process is gone, short and long
# ones, of which most may run only once.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

CALLERS=12
EVENTS=50

gateway_alone
gateway_server server-1 model --slots 24 --events $EVENTS --event-ms 30
gateway_server server-2 desk --slots 24 --plain on --event-ms 700
wait_until gateway_knows g1 server-1
wait_until gateway_knows g1 server-2

# caller NAME PATH DEADLINE: sends requests until the process is gone; prints the id,
# status, curl's exit status and number of events of each.
caller () {
	n=0
	while fleet_runs g1
	do
		n=$((n + 1))
		code=0
		status=$(gateway_call g1 "$1-$n" "$2" -N -d p -m 9 \
			-H "X-Deadline-Ms: $3" -o "$FLEET_DIR/$1-$n.body" \
			-w '%{http_code}') || code=$?
		events=$(grep -c '^data: ' "$FLEET_DIR/$1-$n.body" 2>/dev/null)
		echo "$1-$n $2 $status $code ${events:-0}"
		test "$status" = 200 || sleep 0.1
	done >"$FLEET_DIR/$1.calls"
}

CALLS=
for i in $(seq 1 $CALLERS)
do
	case $((i % 3)) in
	0) caller "plain-$i" /plain/x 1500 & ;;
	1) caller "short-$i" /once/x 2500 & ;;
	2) caller "long-$i" /once/x 7000 & ;;
	esac
	CALLS="$CALLS $!"
	sleep 0.1
done
sleep 1
fleet_signal g1 TERM
# shellcheck disable=SC2086
wait $CALLS

cat "$FLEET_DIR"/*.calls >"$FLEET_DIR/calls"
while read -r id path status code events
do
	test "$status" = 200 && test "$code" = 0 &&
		{ test "$path" != /once/x || test "$events" = $EVENTS; } && continue
	runs=$(gateway_runs "$id")
	test "$runs" = 0 ||
		fleet_fail "$id ran, and got $status with $events events, exit $code"
done <"$FLEET_DIR/calls"
test "$(grep -c ' 200 0 ' "$FLEET_DIR/calls")" -ge $CALLERS ||
	fleet_fail "too few requests were answered"
echo "requests that ran: answered"
