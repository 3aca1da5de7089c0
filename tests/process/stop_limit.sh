# A graceful stop waits for a stream. Past the stop limit the stream is cut off:
# the caller must see that it is incomplete, and the exit status must be 1.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "depot:online")
fleet_platform
fleet_standin engine-1 engine --base-gap-us 10000
fleet_entry entry-1 akl-a akl
sed 's/"bus": "127.0.0.1:0"/&, "stop_limit_ms": 1000/; s/entry-1/entry-2/' \
	"$FLEET_DIR/entry-1.json" >"$FLEET_DIR/entry-2.json"
fleet_start_node entry-2
fleet_row entry-2 entry akl-a akl ""
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_publish

# send_request ENTRY TOKENS: requests a stream; returns the status of curl.
send_request () {
	curl -sN -o "$FLEET_DIR/$1.response" -H "Authorization: Bearer depot" \
		-d "{\"prompt\":\"p\",\"max_tokens\":$2,\"stream\":true}" \
		"$(fleet_url "$1")/v1/services/claim-desk/v1/completions"
}
request_succeeds () {
	send_request "$1" "$2" &&
		grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.response"
}
stream_started () {
	grep -q '^data: {' "$FLEET_DIR/$1.response"
}

wait_until request_succeeds entry-1 2
wait_until request_succeeds entry-2 2

# A stream of 250 tokens takes 2.5 s. entry-1 waits for its end; entry-2 reaches
# its stop limit of 1 s.
for entry in entry-1 entry-2
do
	rm -f "$FLEET_DIR/$entry.response"
	send_request "$entry" 250 &
	echo $! >"$FLEET_DIR/$entry.curl"
	wait_until stream_started "$entry"
	fleet_signal "$entry" TERM
done
wait "$(cat "$FLEET_DIR/entry-1.curl")" || fleet_fail "the stream was cut"
grep -q '^data: \[DONE\]' "$FLEET_DIR/entry-1.response" ||
	fleet_fail "the stream did not end"
fleet_wait entry-1 || fleet_fail "entry-1 exited with $?"
wait "$(cat "$FLEET_DIR/entry-2.curl")" &&
	fleet_fail "a cut stream looks complete"
grep -q '^data: \[DONE\]' "$FLEET_DIR/entry-2.response" &&
	fleet_fail "the stream was not cut"
fleet_wait entry-2
test $? -eq 1 || fleet_fail "entry-2 did not exit with 1 after it cut a request"
grep 'Sanitizer' "$FLEET_DIR/entry-2.log" &&
	fleet_fail "a sanitizer reported an error at the stop"
grep -q 'graceful stop timed out, aborting 1 requests' \
	"$FLEET_DIR/entry-2.log" || fleet_fail "the cut was not logged"
fleet_signal agent-1 TERM
fleet_wait agent-1 || fleet_fail "agent-1 exited with $?"
echo "one stop waited for its stream, the other cut it off and reported it"
