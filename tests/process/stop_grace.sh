# A stopping entry accepts connections during its grace period, so that callers
# that have not noticed the stop get an answer. It reports not ready, refuses
# new requests as not run, finishes its streams, and exits with 0.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "depot:online")
fleet_platform
fleet_standin engine-1 engine --base-gap-us 20000
fleet_entry entry-1 akl-a akl
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_publish
wait_until fleet_ready entry-1
url=$(fleet_url entry-1)

send_request () {
	curl -sN -m 20 -D "$FLEET_DIR/$1.head" \
		-H "Authorization: Bearer depot" \
		-d "{\"prompt\":\"$1\",\"max_tokens\":$2,\"stream\":true}" \
		"$url/v1/services/claim-desk/v1/completions" \
		>"$FLEET_DIR/$1.body"
	grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.body"
}

wait_until send_request first 2
send_request long 100 &
long=$!
wait_until grep -q '^data:' "$FLEET_DIR/long.body"
fleet_signal entry-1 TERM

not_ready () {
	test "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "$url/readyz")" = 503
}
wait_until not_ready
send_request late 2 && fleet_fail "a stopping entry ran a request"
head -n 1 "$FLEET_DIR/late.head" | grep -q ' 503' ||
	fleet_fail "late: $(head -n 1 "$FLEET_DIR/late.head")"
grep -qi '^briarplank-outcome: not_run' "$FLEET_DIR/late.head" ||
	fleet_fail "late: the outcome is not not_run"
grep -qi '^retry-after:' "$FLEET_DIR/late.head" ||
	fleet_fail "late: no Retry-After header"

wait $long || fleet_fail "the stream was cut off"
test "$(grep -c '^data: {' "$FLEET_DIR/long.body")" -eq 100 ||
	fleet_fail "the stream is incomplete"
fleet_wait entry-1 || fleet_fail "entry-1 exited with $?"
curl -s -m 5 "$url/healthz" >/dev/null &&
	fleet_fail "the entry still listens"
echo "refused as not run while stopping; the stream was complete; exited with 0"
