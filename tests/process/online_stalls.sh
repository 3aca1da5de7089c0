# Faults of online requests with real agents and servers: servers that accept
# connections and send nothing, agents that are stopped during a request,
# callers that disconnect, late and duplicate answers. Checks the status, the
# outcome and how often servers ran the request.
. tests/fleet/fleet.sh
fleet_begin

FLEET_LEVEL=debug
fleet_platform
fleet_entry entry-1 akl-a akl
for service in stopped stalled frozen disconnected
do
	fleet_standin "plain-$service" plain
	fleet_agent "agent-$service" akl-a akl "$service" \
		"$(fleet_address "plain-$service")" plain
done
fleet_standin plain-retry-1 plain
fleet_standin plain-retry-2 plain
fleet_agent agent-retry-1 akl-a akl retry "$(fleet_address plain-retry-1)" plain
fleet_agent agent-retry-2 akl-a akl retry "$(fleet_address plain-retry-2)" plain
for service in unanswered duplicate
do
	fleet_standin "engine-$service" engine
	fleet_agent "agent-$service" akl-a akl "$service" \
		"$(fleet_address "engine-$service")"
done
fleet_publish
wait_until fleet_ready entry-1
url=$(fleet_url entry-1)/v1/services

# call BODY SERVICE DEADLINE_MS IDEMPOTENT [WORK_MS] [CURL ARGS]: stores the
# answer, curl's status and the time taken in ms. Servers count runs by body.
call () {
	body=$1
	service=$2
	deadline=$3
	idempotent=$4
	work=${5:-10}
	test $# -lt 5 && shift 4 || shift 5
	status=0
	begun=$(date +%s%3N)
	curl -s -o "$FLEET_DIR/$body.body" -D "$FLEET_DIR/$body.head" "$@" \
		-H "Briarplank-Timeout: ${deadline}ms" \
		-H "Briarplank-Idempotent: $idempotent" -d "$body" \
		"$url/$service/tally?ms=$work" || status=$?
	echo "$status" >"$FLEET_DIR/$body.status"
	echo $(($(date +%s%3N) - begun)) >"$FLEET_DIR/$body.ms"
}

# Prints the answer's status and outcome, and curl's status.
answer () {
	tr -d '\r' <"$FLEET_DIR/$1.head" | awk -v status="$(cat "$FLEET_DIR/$1.status")" '
		/^HTTP/ { code = $2 }
		tolower($1) == "briarplank-outcome:" { outcome = $2 }
		END { print code == "" ? "-" : code, outcome == "" ? "-" : outcome, status }'
}

# runs_of BODY SERVER...: prints how often the servers ran it in total.
runs_of () {
	wanted=$1
	shift
	for server
	do
		curl -s "http://$(fleet_address "$server")/runs" |
			grep -o "\"$wanted\": *[0-9]*" | grep -o '[0-9]*$'
	done | awk '{ sum += $1 } END { print sum + 0 }'
}

expect () {
	test "$2" = "$3" || fleet_fail "$1: expected $2, got $3"
	echo "$1: $3"
}

# in_time BODY DEADLINE_MS: the answer must come soon after the deadline, when
# the entry waits briefly for proof that the request has not run.
in_time () {
	took=$(cat "$FLEET_DIR/$1.ms")
	test "$took" -lt $(($2 + 1000)) ||
		fleet_fail "$1: answered after $took ms, deadline $2 ms"
}

serves () {
	call "warm" "$1" 2000 false
	test "$(answer warm)" = "200 completed 0"
}
for service in stopped stalled frozen disconnected retry
do
	wait_until serves "$service"
done
stream () {
	status=0
	curl -sN -o "$FLEET_DIR/$1.body" -D "$FLEET_DIR/$1.head" \
		-H "Briarplank-Timeout: ${3}ms" \
		-d "{\"prompt\":\"p\",\"max_tokens\":$2,\"stream\":true}" \
		"$url/$1/v1/completions" || status=$?
	echo "$status" >"$FLEET_DIR/$1.status"
}
streams () {
	stream "$1" 1 2000
	test "$(answer "$1")" = "200 completed 0"
}
wait_until streams unanswered
wait_until streams duplicate

# The server accepts connections but reads no request.
fleet_signal plain-stopped STOP
call stopped-once stopped 700 false &
stopped=$!
# The server reads the request and sends nothing.
curl -s -X POST "http://$(fleet_address plain-stalled)/fault?kind=stall" >/dev/null
call stalled-once stalled 700 false &
stalled=$!
call stalled-idempotent stalled 700 true &
idempotent_call=$!
# The agent is stopped; the request waits for it until after its deadline, or
# its caller disconnects meanwhile.
fleet_signal agent-frozen STOP
fleet_signal agent-disconnected STOP
call frozen-once frozen 900 false &
frozen=$!
call disconnected-once disconnected 5000 false 10 --max-time 0.5 &
disconnected=$!
wait $stopped $stalled $idempotent_call $frozen $disconnected
fleet_signal plain-stopped CONT
fleet_signal agent-frozen CONT
fleet_signal agent-disconnected CONT
expect "sent, server stopped" "504 unknown 0" "$(answer stopped-once)"
expect "admitted, server stalls" "504 unknown 0" "$(answer stalled-once)"
expect "admitted, server stalls, idempotent" "504 unknown 0" "$(answer stalled-idempotent)"
expect "queued, agent frozen, deadline passes" "504 unknown 0" "$(answer frozen-once)"
expect "queued, agent frozen, caller disconnects" "- - 28" "$(answer disconnected-once)"
in_time stopped-once 700
in_time stalled-once 700
in_time stalled-idempotent 700
in_time frozen-once 900
wait_until serves frozen
wait_until serves disconnected
expect "runs" 1 "$(runs_of stalled-once plain-stalled)"
expect "runs" 1 "$(runs_of stalled-idempotent plain-stalled)"
expect "runs after the agent goes on" 0 "$(runs_of frozen-once plain-frozen)"
expect "runs after the agent goes on" 0 "$(runs_of disconnected-once plain-disconnected)"

# The agent is stopped during a run. Another one answers, and the late answer of
# the first is dropped.
call late-one retry 15000 true 500 &
late=$!
find_runner () {
	for each in 1 2
	do
		test "$(runs_of late-one plain-retry-$each)" -eq 0 ||
			frozen=$each
	done
	test -n "$frozen"
}
frozen=
wait_until find_runner
fleet_signal "agent-retry-$frozen" STOP
wait $late
expect "admitted, agent frozen, idempotent" "200 completed 0" "$(answer late-one)"
expect "its answer" late-one "$(cat "$FLEET_DIR/late-one.body")"
expect "runs" 2 "$(runs_of late-one plain-retry-1 plain-retry-2)"
fleet_signal "agent-retry-$frozen" CONT
call after-late retry 5000 true
expect "the next answer" "200 completed 0" "$(answer after-late)"
expect "its text" after-late "$(cat "$FLEET_DIR/after-late.body")"

# If the caller disconnects before the head, the engine cancels the request.
curl -s -X POST "http://$(fleet_address engine-unanswered)/fault?kind=stall" >/dev/null
curl -sN --max-time 0.5 -o /dev/null \
	-d '{"prompt":"p","max_tokens":50,"stream":true}' \
	"$url/unanswered/v1/completions" || :
idle () {
	curl -s "http://$(fleet_address engine-unanswered)/v1/load" |
		grep -q '"running": *0'
}
wait_until idle
echo "admitted, caller disconnected: cancelled at the engine"

# An entry that was stopped asks to resume, so that chunks arrive twice.
stream duplicate 150 10000 &
duplicate=$!
has_tokens () {
	test "$(grep -c '^data: {' "$FLEET_DIR/duplicate.body")" -ge 5
}
rm -f "$FLEET_DIR/duplicate.body"
wait_until has_tokens
fleet_signal entry-1 STOP
sleep 1.2
fleet_signal entry-1 CONT
wait $duplicate
expect "mid-stream, duplicate chunks" "200 completed 0" "$(answer duplicate)"
expect "tokens" 150 "$(grep -c '^data: {' "$FLEET_DIR/duplicate.body")"
expect "in order" 150 "$(grep -o '"index":[0-9]*' "$FLEET_DIR/duplicate.body" |
	awk -F: '$2 == NR - 1' | wc -l)"
expect "ends" 1 "$(grep -c '\[DONE\]' "$FLEET_DIR/duplicate.body")"
