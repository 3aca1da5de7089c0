# Guards against streams that a stopping gateway takes, passes on and then cuts, as they
# last longer than the process, and against requests that it leaves without an answer.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

EVENTS=160

gateway_alone
gateway_server server-1 model --slots 16 --events $EVENTS --event-ms 30
gateway_server server-2 desk --slots 16 --plain on --event-ms 5
wait_until gateway_knows g1 server-1
wait_until gateway_knows g1 server-2

# call ID PATH DELAY BODY [CURL ARGS]: starts a request that many seconds from now; its
# head, body and exit status go to files.
call () {
	id=$1
	path=$2
	delay=$3
	body=$4
	shift 4
	(
		sleep "$delay"
		gateway_call g1 "$id" "$path" -d "$body" -D "$FLEET_DIR/$id.head" "$@" \
			>"$FLEET_DIR/$id.body"
		echo $? >"$FLEET_DIR/$id.exit"
	) &
	CALLS="$CALLS $!"
}

# status ID: prints the status of a call, 000 without an answer.
status () {
	sed -n 's|^HTTP/1.1 \([0-9]*\).*|\1|p' "$FLEET_DIR/$1.head" 2>/dev/null |
		grep . || echo 000
}

# whole_or_not_run ID: a stream is complete, or no server has got it.
whole_or_not_run () {
	events=$(grep -c '^data: ' "$FLEET_DIR/$1.body")
	runs=$(gateway_runs "$1")
	test "$runs" = 0 || test "$events" = "$EVENTS" ||
		fleet_fail "$1 ran, and $events of $EVENTS events came"
	test "$runs" = 1 || test "$(status "$1")" = 503 ||
		test "$(status "$1")" = 000 ||
		fleet_fail "$1 did not run, and its status is $(status "$1")"
}

CALLS=
# The second request of this caller comes on the connection of the first one.
curl -s --rate 18/m -H "Host: $GATEWAY_HOST" -H "X-Attempt-Id: kept" \
	-H "X-Deadline-Ms: 6000" -d p -o "$FLEET_DIR/warm" -o "$FLEET_DIR/kept.body" \
	"http://$(gateway_address g1 front)/plain/x" \
	"http://$(gateway_address g1 front)/once/x" &
CALLS="$CALLS $!"
wait_until grep -q p "$FLEET_DIR/warm"
fleet_signal g1 TERM
call early /once/x 0.5 p
for at in 2.5 2.7 2.95 3.05 3.1
do
	call "late-$at" /once/x $at p
done
call "short" /plain/x 3.05 p -H 'X-Deadline-Ms: 1000'
# This one is taken, and still in progress as the process ends.
call "held" /once/x 1 'hold 3' -H 'X-Deadline-Ms: 7900'
# shellcheck disable=SC2086
wait $CALLS
wait "$(fleet_pid g1)" || fleet_fail "the process exited with $?"

expect "early stream" "$(grep -c '^data: ' "$FLEET_DIR/early.body") events" "$EVENTS events"
for at in 2.5 2.7 2.95 3.05 3.1
do
	whole_or_not_run "late-$at"
done
echo "late streams: whole, or not run"
test "$(status late-3.05)" != 503 || grep -qi '^retry-after: 0' "$FLEET_DIR/late-3.05.head" ||
	fleet_fail "the refusal doesn't tell when to come back"
runs=$(gateway_runs kept)
test "$runs" = 1 || test "$(grep -c '^data: ' "$FLEET_DIR/kept.body")" = "$EVENTS" ||
	fleet_fail "the stream on a kept connection was cut"
echo "kept connection: whole, or not run"
expect "short request" "$(status short)" 200
test "$(cat "$FLEET_DIR/held.exit")" != 0 || fleet_fail "the held stream looks complete"
echo "held stream: broken off"

# A request without an answer gets one before the process ends.
GATEWAY_GRACE_S=2
gateway_start g2
wait_until gateway_ready g2
fleet_standin raw raw
gateway_list server-2 desk draining
gateway_raw_server silent desk open ''
wait_until gateway_knows_raw g2 silent
gateway_status g2 silent-1 /plain/x -d p -H 'X-Deadline-Ms: 3000' >"$FLEET_DIR/silent" &
caller=$!
asked () {
	test "$(gateway_raw_count silent accepted)" -ge 1
}
wait_until asked
fleet_signal g2 TERM
wait $caller
expect "request without an answer" "$(cat "$FLEET_DIR/silent")" 502
