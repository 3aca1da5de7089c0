# Guards against a part of an answer reaching a caller as complete: a server answers a long
# upload at once, without a length, sends a part of the body and resets the connection
# while the upload is still being written.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

ROUNDS=20
CALLERS=6
UPLOAD_BYTES=4000000

fleet_standin raw raw
gateway_alone
gateway_raw_server reset-desk desk reset \
	'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n\r\npart'
gateway_raw_server reset-model model reset \
	'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n\r\nid: 1\ndata: a\n\n'
wait_until gateway_knows_raw g1 reset-desk
wait_until gateway_knows_raw g1 reset-model
head -c $UPLOAD_BYTES /dev/zero >"$FLEET_DIR/upload"

# upload CALLER PATH: uploads once a round; prints the status and curl's exit status.
upload () {
	for round in $(seq 1 $ROUNDS)
	do
		code=0
		status=$(curl -s -H "Host: $GATEWAY_HOST" -H 'Expect:' \
			-H "X-Attempt-Id: $1-$round" -H 'X-Deadline-Ms: 3000' \
			--data-binary @"$FLEET_DIR/upload" -o "$FLEET_DIR/body-$1" \
			-w '%{http_code}' \
			"http://$(gateway_address g1 front)$2") || code=$?
		echo "$status $code"
	done >>"$FLEET_DIR/ends-$1"
}

# uploads NAME PATH: uploads with several callers at a time; none may get a complete 200.
uploads () {
	callers=
	for caller in $(seq 1 $CALLERS)
	do
		upload "$1-$caller" "$2" &
		callers="$callers $!"
	done
	# shellcheck disable=SC2086
	wait $callers
	cat "$FLEET_DIR/ends-$1-"* >"$FLEET_DIR/ends"
	expect "$1" "$(grep -c '^200 0' "$FLEET_DIR/ends") of $(wc -l <"$FLEET_DIR/ends") complete" \
		"0 of $((ROUNDS * CALLERS)) complete"
}

uploads repeatable /plain/x
uploads once /once/x
test "$(gateway_raw_count reset-desk accepted)" -ge $CALLERS ||
	fleet_fail "the server got too few uploads"
