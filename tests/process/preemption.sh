# Online requests preempt batch streams, which later resume after the last token
# that they already have. The response to each item must be complete and equal
# to that of an uninterrupted call: a faulty resume repeats or loses tokens.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
fleet_begin
FLEET_ACCESS=$(fleet_access "desk:batch depot:online")
fleet_platform
fleet_standin engine-1 engine
ENTRIES=entry-1
fleet_entry entry-1 akl-a akl
fleet_agent agent-1 akl-a akl claims "$(fleet_address engine-1)"
fleet_publish
wait_until fleet_ready entry-1
wait_until all_owned
url=$(fleet_url entry-1)
engine=$(fleet_address engine-1)

# The job has items that ask for a single response and items that ask for a
# stream.
i=0
while test $i -lt 24
do
	echo "{\"id\":\"whole-$i\",\"body\":{\"prompt\":\"claim $i\",\"max_tokens\":120},\"idempotent\":true}"
	echo "{\"id\":\"stream-$i\",\"body\":{\"prompt\":\"claim $i\",\"max_tokens\":120,\"stream\":true},\"idempotent\":true}"
	i=$((i + 1))
done >"$FLEET_DIR/night"
wait_until submitted entry-1 night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&due=2030-01-01T00:00:00Z&keep=1h"
agent_metric () {
	curl -s "$(fleet_url agent-1)/metrics" | sed -n "s/^$1 //p"
}
batch_items_ended () {
	test "$(agent_metric briarplank_batch_ended_total)" -ge 4
}
wait_until batch_items_ended

send_request () {
	curl -sN -o /dev/null -H "Authorization: Bearer depot" \
		-d "{\"prompt\":\"call $1\",\"max_tokens\":20,\"stream\":true}" \
		"$url/v1/services/claims/v1/completions"
}
preempted () {
	for n in 1 2 3 4 5 6 7 8 9 10 11 12
	do
		send_request $n &
	done
	sleep 0.4
	test "$(agent_metric briarplank_gate_preemptions_total)" -ge 6
}
wait_until preempted
wait_until job_ended entry-1 night
test "$(job_field entry-1 night done)" -eq 48 ||
	fleet_fail "not 48 items done: $(call "$url/v1/jobs/night")"

# Gets the expected response to each item from the engine itself.
call "$url/v1/jobs/night/results" >"$FLEET_DIR/results"
i=0
pids=
while test $i -lt 24
do
	curl -s -d "{\"prompt\":\"claim $i\",\"max_tokens\":120}" \
		"http://$engine/v1/completions" >"$FLEET_DIR/expected-$i" &
	pids="$pids $!"
	i=$((i + 1))
done
# shellcheck disable=SC2086
wait $pids
i=0
while test $i -lt 24
do
	text=$(sed -n 's/.*"text": *"\([^"]*\)".*/\1/p' "$FLEET_DIR/expected-$i")
	test -n "$text" || fleet_fail "no text: $(cat "$FLEET_DIR/expected-$i")"
	grep "\"whole-$i\"" "$FLEET_DIR/results" | grep -qF "$text" ||
		fleet_fail "whole-$i differs: $(grep "\"whole-$i\"" "$FLEET_DIR/results")"
	tokens=$(grep "\"stream-$i\"" "$FLEET_DIR/results" |
		grep -o 't[0-9]*:[0-9a-f]*' | tr '\n' ' ')
	test "$tokens" = "$text" ||
		fleet_fail "stream-$i differs: $tokens, expected $text"
	i=$((i + 1))
done
echo "48 items correct after $(agent_metric briarplank_gate_preemptions_total) preemptions"
