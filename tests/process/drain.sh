# A drained server gets no new requests 3 s after the command, and its streams
# run to their end. It stays drained over a restart of its agent, which must
# read the drain from the configuration, and serves again after "undrain".
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator depot:online")
fleet_platform
fleet_standin engine-1 engine --base-gap-us 20000
fleet_standin engine-2 engine --base-gap-us 20000
fleet_entry entry-1 akl-a akl
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_agent agent-2 akl-a akl claim-desk "$(fleet_address engine-2)"
fleet_publish

operator_command () {
	curl -sf -H "Authorization: Bearer ann" -d "$1" \
		"$(fleet_url entry-1)/v1/operator" >/dev/null
}

# send_request TOKENS FILE: writes a streamed response to FILE; fails if it is
# incomplete.
send_request () {
	curl -sN -H "Authorization: Bearer depot" -o "$2" \
		-d "{\"prompt\":\"x\",\"max_tokens\":$1,\"stream\":true}" \
		"$(fleet_url entry-1)/v1/services/claim-desk/v1/completions" &&
		grep -q '^data: \[DONE\]' "$2"
}

admitted_total () {
	curl -s "$(fleet_url "$1")/metrics" |
		sed -n 's/^briarplank_gate_admitted_total //p'
}

both_serve () {
	send_request 2 "$FLEET_DIR/response" &&
		test "$(admitted_total agent-1)" -gt 0 &&
		test "$(admitted_total agent-2)" -gt 0
}
wait_until both_serve

# One server is drained while long streams run on both.
long=
for i in 1 2 3 4
do
	send_request 300 "$FLEET_DIR/long.$i" &
	long="$long $!"
done
FLEET_PIDS="$FLEET_PIDS $long"
sleep 0.5
operator_command 'drain server agent-1' || fleet_fail "the drain was refused"
sleep 3
before=$(admitted_total agent-1)
i=0
while test $i -lt 20
do
	i=$((i + 1))
	send_request 1 "$FLEET_DIR/response" || fleet_fail "request $i failed"
done
test "$(admitted_total agent-1)" -eq "$before" ||
	fleet_fail "a drained server got new requests"
for pid in $long
do
	wait "$pid" || fleet_fail "a stream was cut off by the drain"
done

# The server stays drained when its agent is killed and restarted.
fleet_signal agent-1 KILL
wait "$(fleet_pid agent-1)" 2>/dev/null
mv "$FLEET_DIR/agent-1.log" "$FLEET_DIR/agent-1.before"
fleet_start_node agent-1
wait_until fleet_ready agent-1
sleep 2
i=0
while test $i -lt 20
do
	i=$((i + 1))
	send_request 1 "$FLEET_DIR/response" || fleet_fail "request $i failed"
done
test "$(admitted_total agent-1)" -eq 0 ||
	fleet_fail "the drain did not survive the restart"

operator_command 'undrain server agent-1' ||
	fleet_fail "the undrain was refused"
serves_again () {
	send_request 1 "$FLEET_DIR/response" &&
		test "$(admitted_total agent-1)" -gt 0
}
wait_until serves_again
echo "a drained server got no new requests, and no stream was cut off"
