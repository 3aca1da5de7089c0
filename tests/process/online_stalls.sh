# Cells of the fault table with real agents and servers: servers that accept
# and then send nothing, agents that freeze with a request under way, callers
# that leave, late and doubled answers. For each: status, outcome, and how often
# the server ran it.
. tests/fleet/fleet.sh
fleet_begin

FLEET_LEVEL=debug
fleet_platform
fleet_entry entry-1 akl-a akl
for service in deaf silent frozen left
do
	fleet_standin "plain-$service" plain
	fleet_agent "agent-$service" akl-a akl "$service" \
		"$(fleet_address "plain-$service")" plain
done
fleet_standin plain-retry-1 plain
fleet_standin plain-retry-2 plain
fleet_agent agent-retry-1 akl-a akl retry "$(fleet_address plain-retry-1)" plain
fleet_agent agent-retry-2 akl-a akl retry "$(fleet_address plain-retry-2)" plain
for service in quiet twice
do
	fleet_standin "engine-$service" engine
	fleet_agent "agent-$service" akl-a akl "$service" \
		"$(fleet_address "engine-$service")"
done
fleet_publish
wait_until fleet_ready entry-1
url=$(fleet_url entry-1)/v1/services

# call BODY SERVICE DEADLINE_MS IDEMPOTENT [WORK_MS] [CURL ARGS]: the body names
# the run; leaves status, outcome, curl's status and the time taken in ms.
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

# runs_of BODY SERVER...: how often the servers ran it, together.
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

# What is given up is answered at once: by the deadline and the time in which
# proof may come.
at_once () {
	took=$(cat "$FLEET_DIR/$1.ms")
	test "$took" -lt $(($2 + 1000)) ||
		fleet_fail "$1: answered only after $took ms"
}

serves () {
	call "warm" "$1" 2000 false
	test "$(answer warm)" = "200 completed 0"
}
for service in deaf silent frozen left retry
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
wait_until streams quiet
wait_until streams twice

# A server that accepts connections and reads nothing.
fleet_signal plain-deaf STOP
call deaf-once deaf 700 false &
deaf=$!
# One that reads the request and sends nothing.
curl -s -X POST "http://$(fleet_address plain-silent)/fault?kind=stall" >/dev/null
call silent-once silent 700 false &
silent=$!
call silent-again silent 700 true &
again=$!
# The agent freezes; the request waits for it past its deadline, or its caller
# leaves meanwhile.
fleet_signal agent-frozen STOP
fleet_signal agent-left STOP
call frozen-once frozen 900 false &
frozen=$!
call left-once left 5000 false 10 --max-time 0.5 &
left=$!
wait $deaf $silent $again $frozen $left
fleet_signal plain-deaf CONT
fleet_signal agent-frozen CONT
fleet_signal agent-left CONT
expect "sent, engine stalls" "504 unknown 0" "$(answer deaf-once)"
expect "admitted, engine stalls" "504 unknown 0" "$(answer silent-once)"
expect "admitted, engine stalls, again" "504 unknown 0" "$(answer silent-again)"
expect "queued, deadline in a freeze" "504 unknown 0" "$(answer frozen-once)"
expect "queued, caller gone in a freeze" "- - 28" "$(answer left-once)"
at_once deaf-once 700
at_once silent-once 700
at_once silent-again 700
at_once frozen-once 900
wait_until serves frozen
wait_until serves left
expect "runs" 1 "$(runs_of silent-once plain-silent)"
expect "runs" 1 "$(runs_of silent-again plain-silent)"
expect "runs after the thaw" 0 "$(runs_of frozen-once plain-frozen)"
expect "runs after the thaw" 0 "$(runs_of left-once plain-left)"

# The agent freezes in a run; another one answers, and the late answer of the
# first reaches nobody.
call late-one retry 15000 true 500 &
late=$!
victim () {
	for each in 1 2
	do
		test "$(runs_of late-one plain-retry-$each)" -eq 0 ||
			frozen=$each
	done
	test -n "$frozen"
}
frozen=
wait_until victim
fleet_signal "agent-retry-$frozen" STOP
wait $late
expect "admitted, agent frozen, again" "200 completed 0" "$(answer late-one)"
expect "its answer" late-one "$(cat "$FLEET_DIR/late-one.body")"
expect "runs" 2 "$(runs_of late-one plain-retry-1 plain-retry-2)"
fleet_signal "agent-retry-$frozen" CONT
call after-late retry 5000 true
expect "the next answer" "200 completed 0" "$(answer after-late)"
expect "its text" after-late "$(cat "$FLEET_DIR/after-late.body")"

# The caller leaves before the head: the engine is told to stop.
curl -s -X POST "http://$(fleet_address engine-quiet)/fault?kind=stall" >/dev/null
curl -sN --max-time 0.5 -o /dev/null \
	-d '{"prompt":"p","max_tokens":50,"stream":true}' \
	"$url/quiet/v1/completions" || :
idle () {
	curl -s "http://$(fleet_address engine-quiet)/v1/load" |
		grep -q '"running": *0'
}
wait_until idle
echo "admitted, caller gone: cancelled down to the engine"

# A frozen entry asks again for what came meanwhile; the pieces come twice.
stream twice 150 10000 &
twice=$!
has_tokens () {
	test "$(grep -c '^data: {' "$FLEET_DIR/twice.body")" -ge 5
}
rm -f "$FLEET_DIR/twice.body"
wait_until has_tokens
fleet_signal entry-1 STOP
sleep 1.2
fleet_signal entry-1 CONT
wait $twice
expect "mid-stream, answer twice" "200 completed 0" "$(answer twice)"
expect "tokens" 150 "$(grep -c '^data: {' "$FLEET_DIR/twice.body")"
expect "in order" 150 "$(grep -o '"index":[0-9]*' "$FLEET_DIR/twice.body" |
	awk -F: '$2 == NR - 1' | wc -l)"
expect "ends" 1 "$(grep -c '\[DONE\]' "$FLEET_DIR/twice.body")"
