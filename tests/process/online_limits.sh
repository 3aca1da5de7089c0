# Limits for callers: request rates, body sizes, slow readers; and how a caller
# sees that an answer is truncated, with HTTP/1.0 and HTTP/1.1.
. tests/fleet/fleet.sh
fleet_begin
fleet_platform

sum=$(printf slow | sha256sum | cut -d' ' -f1)
other=$(printf other | sha256sum | cut -d' ' -f1)
cat >"$FLEET_DIR/entry.json" <<EOF
{
	"node": { "name": "entry", "role": "entry", "data_centre": "d",
		  "region": "r", "bus": "127.0.0.1:0" },
	"log": { "level": "debug" },
	"web": { "listen": "127.0.0.1:0" },
	"platform": { "log": "$FLEET_LOG" },
	"access": [
		{ "name": "slow", "key_sha256": "$sum",
		  "requests_per_s": 1, "burst": 2 },
		{ "name": "other", "key_sha256": "$other" } ]
}
EOF
fleet_start_node entry
fleet_spawn agent "$BUILD/tests/faults/fake_agent" agent chat entry \
	"$(fleet_word entry bus)"
agent_is_known () {
	grep -q "agent is up" "$FLEET_DIR/entry.log"
}
wait_until agent_is_known
url=$(fleet_url entry)/v1/services

# call KEY PATH [CURL ARGS]: prints status, outcome, Retry-After, curl's status.
call () {
	key=$1
	path=$2
	shift 2
	status=0
	curl -s -o "$FLEET_DIR/body" -D "$FLEET_DIR/head" "$@" \
		-H "Authorization: Bearer $key" "$url/$path" || status=$?
	tr -d '\r' <"$FLEET_DIR/head" | awk -v status="$status" '
		/^HTTP/ { code = $2 }
		tolower($1) == "briarplank-outcome:" { outcome = $2 }
		tolower($1) == "retry-after:" { retry = $2 }
		END { print code, outcome, retry == "" ? "-" : retry, status }'
}

expect () {
	test "$2" = "$3" || fleet_fail "$1: expected $2, got $3"
	echo "$1: $3"
}

ok=chat/run,admit,head,last:0:ok
expect "first call" "200 completed - 0" "$(call slow $ok)"
expect "second call" "200 completed - 0" "$(call slow $ok)"
expect "third call" "429 not_run 1 0" "$(call slow $ok)"
expect "another caller" "200 completed - 0" "$(call other $ok)"
expect "unknown key" "401 not_run - 0" "$(call nobody $ok)"
expect "unknown service" "404 not_run - 0" "$(call other none/x)"
expect "no service" "404 not_run - 0" "$(call other chat)"
expect "malformed timeout" "400 not_run - 0" \
	"$(call other $ok -H 'Briarplank-Timeout: soon')"
expect "malformed idempotent field" "400 not_run - 0" \
	"$(call other $ok -H 'Briarplank-Idempotent: maybe')"

head -c 8000000 /dev/zero >"$FLEET_DIR/large"
expect "body too large" "413 not_run - 0" \
	"$(call other $ok --data-binary "@$FLEET_DIR/large" -H 'Expect:')"
head -c 7000000 /dev/zero >"$FLEET_DIR/large"
expect "largest body" "200 completed - 0" \
	"$(call other $ok --data-binary "@$FLEET_DIR/large" -H 'Expect:')"

expect "HEAD" "200 completed - 0" \
	"$(call other chat/run,admit,head,last:0: --head)"

# A caller sees that an answer is truncated, also without chunked encoding.
expect "complete, HTTP/1.0" "200 completed - 0" "$(call other $ok --http1.0)"
expect "truncated, HTTP/1.0" "200 completed - 56" \
	"$(call other chat/run,admit,head,piece:0:ab,wait:100,fail:0:1 --http1.0)"
# Curl ends with 18 for a chunked body without its last chunk.
expect "truncated, HTTP/1.1" "200 completed - 18" \
	"$(call other chat/run,admit,head,piece:0:ab,wait:100,fail:0:1)"

# A caller that stops reading makes its server stop sending (backpressure), and
# no data is lost. The kernel's socket buffers hold some megabytes meanwhile.
FLOOD_BYTES=67108864
MAX_SENT_BYTES=33554432
curl -sN -o "$FLEET_DIR/flood" -H "Authorization: Bearer other" \
	"$url/chat/run,admit,head,piece:0:x,wait:1000,flood:$FLOOD_BYTES" &
reader=$!
wait_until test -s "$FLEET_DIR/flood"
kill -STOP $reader
sent () {
	sed -n 's/^sent [^ ]* //p' "$FLEET_DIR/agent.log" | tail -n 1
}
is_paused () {
	before=$(sent)
	test -n "$before" || return 1
	sleep 0.3
	test "$(sent)" -eq "$before"
}
wait_until is_paused
sent_before_pause=$(sent)
kill -CONT $reader
wait $reader || fleet_fail "the slow reader ended with $?"
test "$sent_before_pause" -lt $MAX_SENT_BYTES ||
	fleet_fail "$sent_before_pause bytes were sent, at least $MAX_SENT_BYTES"
test "$(wc -c <"$FLEET_DIR/flood")" -eq $((FLOOD_BYTES + 1)) ||
	fleet_fail "the slow reader got $(wc -c <"$FLEET_DIR/flood") bytes"
echo "slow reader: paused at $sent_before_pause, then all $FLOOD_BYTES bytes"
fleet_signal entry TERM
fleet_wait entry || fleet_fail "the entry ended with $?"
