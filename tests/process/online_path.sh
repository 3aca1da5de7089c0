# A streamed answer of an engine is complete and the same through each of two
# entries, and all nodes stop gracefully.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "depot:online")
fleet_platform
fleet_standin engine-1 engine
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-b akl
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_publish
wait_until fleet_ready entry-1
wait_until fleet_ready entry-2

ask () {
	curl -sN -D "$FLEET_DIR/head" -H "Authorization: Bearer depot" \
		-d '{"prompt":"Which receipts are missing?","max_tokens":8,"stream":true}' \
		"$(fleet_url "$1")/v1/services/claim-desk/v1/completions" \
		>"$FLEET_DIR/$1.answer"
	grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.answer"
}

wait_until ask entry-1
wait_until ask entry-2
cmp "$FLEET_DIR/entry-1.answer" "$FLEET_DIR/entry-2.answer" ||
	fleet_fail "the answers differ"
grep -qi '^briarplank-request-id:' "$FLEET_DIR/head" ||
	fleet_fail "no request id"
test "$(grep -c '^data: {' "$FLEET_DIR/entry-1.answer")" -eq 8 ||
	fleet_fail "not 8 tokens"

for node in entry-1 entry-2 agent-1
do
	fleet_signal "$node" TERM
done
for node in entry-1 entry-2 agent-1
do
	fleet_wait "$node" || fleet_fail "$node ended with $?"
done
echo "an answer of 8 tokens through two entries; all nodes stopped with 0"
