# A graceful stop waits for a stream; past its limit the stream is cut off
# visibly, and the exit status says so.
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

# ask ENTRY TOKENS: a streamed answer; the status of curl.
ask () {
	curl -sN -o "$FLEET_DIR/$1.answer" -H "Authorization: Bearer depot" \
		-d "{\"prompt\":\"p\",\"max_tokens\":$2,\"stream\":true}" \
		"$(fleet_url "$1")/v1/services/claim-desk/v1/completions"
}
whole () {
	ask "$1" "$2" && grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.answer"
}
streams () {
	grep -q '^data: {' "$FLEET_DIR/$1.answer"
}

wait_until whole entry-1 2
wait_until whole entry-2 2

# 250 tokens take two and a half seconds: one entry waits, the other cuts.
for entry in entry-1 entry-2
do
	rm -f "$FLEET_DIR/$entry.answer"
	ask "$entry" 250 &
	echo $! >"$FLEET_DIR/$entry.curl"
	wait_until streams "$entry"
	fleet_signal "$entry" TERM
done
wait "$(cat "$FLEET_DIR/entry-1.curl")" || fleet_fail "the stream was cut"
grep -q '^data: \[DONE\]' "$FLEET_DIR/entry-1.answer" ||
	fleet_fail "the stream did not end"
fleet_wait entry-1 || fleet_fail "entry-1 ended with $?"
wait "$(cat "$FLEET_DIR/entry-2.curl")" &&
	fleet_fail "a cut stream looks whole"
grep -q '^data: \[DONE\]' "$FLEET_DIR/entry-2.answer" &&
	fleet_fail "the stream was not cut"
fleet_wait entry-2
test $? -eq 1 || fleet_fail "entry-2 did not say that it cut a request"
grep 'Sanitizer' "$FLEET_DIR/entry-2.log" &&
	fleet_fail "memory faults at the stop"
grep -q 'graceful stop timed out, aborting 1 requests' \
	"$FLEET_DIR/entry-2.log" || fleet_fail "no word of the cut"
fleet_signal agent-1 TERM
fleet_wait agent-1 || fleet_fail "agent-1 ended with $?"
echo "one stop waited for its stream, the other cut it off and said so"
