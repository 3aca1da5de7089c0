# Faults of whole processes under streamed answers: engines and agents that
# die, freeze or stall, callers that leave, and graceful stops. What a caller
# is told in each phase is in tests/faults/online.txt.
. tests/fleet/fleet.sh
fleet_begin

FLEET_LEVEL=debug
fleet_platform
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-a akl
for service in killed-engine killed-agent frozen-agent stalled gone stopping
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

# stream SERVICE TOKENS [CURL ARGS]: leaves body, head and curl's exit status.
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

is_whole () {
	test "$(cat "$FLEET_DIR/$1.status")" -eq 0 ||
		fleet_fail "$1: curl ended with $(cat "$FLEET_DIR/$1.status")"
	grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.body" ||
		fleet_fail "$1: the answer has no end"
	test "$(tokens_of "$1")" -eq "$2" ||
		fleet_fail "$1: $(tokens_of "$1") tokens instead of $2"
	echo "$1: whole"
}

# A visible break: curl's 18 for a body without its end, 56 for a reset.
is_broken () {
	case $(cat "$FLEET_DIR/$1.status") in
	18|56)
		;;
	*)
		fleet_fail "$1: curl ended with $(cat "$FLEET_DIR/$1.status")"
		;;
	esac
	! grep -q '^data: \[DONE\]' "$FLEET_DIR/$1.body" ||
		fleet_fail "$1: the answer looks whole"
	echo "$1: broken, as it must be"
}

# Number of all runs that a plain service counted.
runs_of () {
	curl -s "http://$(fleet_address "$1")/runs" | grep -o ': *[0-9]*' |
		tr -d : | awk '{ sum += $1 } END { print sum + 0 }'
}

answers () {
	rm -f "$FLEET_DIR/$1.body"
	stream "$1" 1
	test "$(cat "$FLEET_DIR/$1.status")" -eq 0 && test "$(tokens_of "$1")" -eq 1
}

for service in killed-engine killed-agent frozen-agent stalled gone stopping
do
	wait_until answers "$service"
	rm -f "$FLEET_DIR/$service.body"
done
ENTRY=entry-2
wait_until answers stopping
rm -f "$FLEET_DIR/stopping.body"
ENTRY=entry-1

# All streams run at the same time; each meets its fault after 3 tokens.
stream killed-engine 300 &
killed_engine=$!
stream killed-agent 300 &
killed_agent=$!
stream frozen-agent 100 &
frozen_agent=$!
stream stalled 300 -H "Briarplank-Timeout: 1500ms" &
stalled=$!
stream gone 100000 --max-time 1 &
gone=$!

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
wait $killed_engine $killed_agent $frozen_agent $stalled $gone
is_broken killed-engine
is_broken killed-agent
is_broken stalled
is_whole frozen-agent 100

# The engine stops a stream whose caller has left.
engine_is_idle () {
	curl -s "http://$(fleet_address engine-gone)/v1/load" |
		grep -q '"running": *0'
}
wait_until engine_is_idle
echo "gone: cancelled down to the engine"

# Work that was cut off is told as unknown and not run again.
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

# A stop of the agent, then one of the entry, cuts off no stream.
stream stopping 200 &
first=$!
wait_until has_tokens stopping
fleet_signal agent-stopping TERM
fleet_signal agent-spare TERM
wait $first
is_whole stopping 200
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
is_whole frozen-agent 200
fleet_wait entry-2 || fleet_fail "entry-2 ended with $?"
echo "stops: no stream was cut off, all ended with 0"
