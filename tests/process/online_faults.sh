# Faults of processes during streamed answers: engines and agents that are
# killed, stopped or stall, callers that disconnect, and graceful stops.
# tests/faults/online.txt tests what a caller is told in each phase.
. tests/fleet/fleet.sh
fleet_begin

FLEET_LEVEL=debug
fleet_platform
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-a akl
for service in killed-engine killed-agent frozen-agent stalled disconnected \
	stopping
do
	fleet_standin "engine-$service" engine
	fleet_agent "agent-$service" akl-a akl "$service" \
		"$(fleet_address "engine-$service")"
done
fleet_standin engine-spare engine
fleet_agent agent-spare akl-a akl stopping "$(fleet_address engine-spare)"
fleet_standin plain plain
fleet_agent agent-plain akl-a akl plain "$(fleet_address plain)" plain
fleet_publish

# stream SERVICE TOKENS [CURL ARGS]: stores body, head and curl's exit status.
stream () {
	name=$1
	tokens=$2
	shift 2
	status=0
	curl -sN -D "$FLEET_DIR/$name.head" -o "$FLEET_DIR/$name.body" "$@" \
		-d "{\"prompt\":\"p\",\"max_tokens\":$tokens,\"stream\":true}" \
		"$(fleet_url "${ENTRY:-entry-1}")/v1/services/$name/v1/completions" ||
		status=$?
	echo "$status" >"$FLEET_DIR/$name.status"
}

tokens_of () {
	grep -c '^data: {' "$FLEET_DIR/$1.body" 2>/dev/null || true
}

has_tokens () {
	test "$(tokens_of "$1")" -ge 3
}

is_complete () {
	test "$(cat "$FLEET_DIR/$1.status")" -eq 0 ||
		fleet_fail "$1: curl ended with $(cat "$FLEET_DIR/$1.status")"
	grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.body" ||
		fleet_fail "$1: the answer is truncated"
	test "$(tokens_of "$1")" -eq "$2" ||
		fleet_fail "$1: $(tokens_of "$1") tokens instead of $2"
	echo "$1: complete"
}

# Curl ends with 18 for a truncated body, with 56 for a reset connection.
is_truncated () {
	case $(cat "$FLEET_DIR/$1.status") in
	18|56)
		;;
	*)
		fleet_fail "$1: curl ended with $(cat "$FLEET_DIR/$1.status")"
		;;
	esac
	! grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.body" ||
		fleet_fail "$1: the answer seems to be complete"
	echo "$1: truncated, as expected"
}

# Prints the number of runs that a plain service has counted.
runs_of () {
	curl -s "http://$(fleet_address "$1")/runs" | grep -o ': *[0-9]*' |
		tr -d : | awk '{ sum += $1 } END { print sum + 0 }'
}

answers () {
	rm -f "$FLEET_DIR/$1.body"
	stream "$1" 1
	test "$(cat "$FLEET_DIR/$1.status")" -eq 0 && test "$(tokens_of "$1")" -eq 1
}

for service in killed-engine killed-agent frozen-agent stalled disconnected \
	stopping
do
	wait_until answers "$service"
	rm -f "$FLEET_DIR/$service.body"
done
ENTRY=entry-2
wait_until answers stopping
rm -f "$FLEET_DIR/stopping.body"
ENTRY=entry-1

# All streams run at the same time; each fault comes after at least 3 tokens.
stream killed-engine 300 &
killed_engine=$!
stream killed-agent 300 &
killed_agent=$!
stream frozen-agent 100 &
frozen_agent=$!
stream stalled 300 -H "Briarplank-Timeout: 1500ms" &
stalled=$!
stream disconnected 100000 --max-time 1 &
disconnected=$!

wait_until has_tokens killed-engine
fleet_signal engine-killed-engine KILL
wait_until has_tokens killed-agent
fleet_signal agent-killed-agent KILL
wait_until has_tokens frozen-agent
fleet_signal agent-frozen-agent STOP
wait_until has_tokens stalled
curl -s -X POST "http://$(fleet_address engine-stalled)/fault?kind=stall" >/dev/null
sleep 1
fleet_signal agent-frozen-agent CONT
wait $killed_engine $killed_agent $frozen_agent $stalled $disconnected
is_truncated killed-engine
is_truncated killed-agent
is_truncated stalled
is_complete frozen-agent 100

# Tells whether the engine has stopped the stream of a disconnected caller.
engine_is_idle () {
	curl -s "http://$(fleet_address engine-disconnected)/v1/load" |
		grep -q '"running": *0'
}
wait_until engine_is_idle
echo "disconnected: cancelled at the engine"

# If the server's connection breaks, the outcome is unknown; it isn't run again.
before=$(runs_of plain)
curl -s -D "$FLEET_DIR/plain.head" -o /dev/null -X POST -d x \
	-H "Briarplank-Idempotent: false" \
	"$(fleet_url entry-1)/v1/services/plain/work?ms=3000" &
call=$!
work_runs () {
	test "$(runs_of plain)" -gt "$before"
}
wait_until work_runs
curl -s -X POST "http://$(fleet_address plain)/fault?kind=kill_streams" >/dev/null
wait $call
grep -q '^HTTP/1.1 504' "$FLEET_DIR/plain.head" ||
	fleet_fail "plain: $(head -n 1 "$FLEET_DIR/plain.head")"
grep -qi '^briarplank-outcome: unknown' "$FLEET_DIR/plain.head" ||
	fleet_fail "plain: the outcome is not unknown"
test "$(runs_of plain)" -eq $((before + 1)) ||
	fleet_fail "plain: $(runs_of plain) runs after $before"
echo "plain: unknown, run once"

# Stopping the agent and then the entry interrupts no stream.
stream stopping 200 &
first=$!
wait_until has_tokens stopping
fleet_signal agent-stopping TERM
fleet_signal agent-spare TERM
wait $first
is_complete stopping 200
fleet_wait agent-stopping || fleet_fail "agent-stopping ended with $?"
fleet_wait agent-spare || fleet_fail "agent-spare ended with $?"

rm -f "$FLEET_DIR/frozen-agent.body"
ENTRY=entry-2
wait_until answers frozen-agent
rm -f "$FLEET_DIR/frozen-agent.body"
stream frozen-agent 200 &
second=$!
wait_until has_tokens frozen-agent
fleet_signal entry-2 TERM
wait $second
is_complete frozen-agent 200
fleet_wait entry-2 || fleet_fail "entry-2 ended with $?"
echo "stops: no stream was interrupted, all processes ended with 0"
