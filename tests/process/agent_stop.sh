# An agent that is told to stop while streams and batch items run: nothing is
# cut off, what had not begun is handed back, and it ends with 0.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
fleet_begin
FLEET_LEVEL=debug
FLEET_ACCESS=$(fleet_access "desk:batch depot:online")
fleet_platform
fleet_standin engine-1 engine
fleet_standin engine-2 engine
ENTRIES=entry-1
fleet_entry entry-1 akl-a akl
fleet_agent agent-1 akl-a akl claims "$(fleet_address engine-1)"
fleet_publish
wait_until fleet_ready entry-1
wait_until all_owned
url=$(fleet_url entry-1)

ask () {
	curl -sN -H "Authorization: Bearer depot" -w '%{http_code} %{exitcode}\n' \
		-d "{\"prompt\":\"claim $1\",\"max_tokens\":$2,\"stream\":true}" \
		"$url/v1/services/claims/v1/completions" >"$FLEET_DIR/ask.$1"
}
works () {
	ask 0 1 && grep -q DONE "$FLEET_DIR/ask.0"
}
wait_until works

job_body 60 true "$FLEET_DIR/night"
sed -i 's/"max_tokens":1/"max_tokens":40/' "$FLEET_DIR/night"
wait_until submitted entry-1 night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&due=2030-01-01T00:00:00Z&keep=1h"
agent_metric () {
	curl -s "$(fleet_url agent-1)/metrics" | sed -n "s/^$1 //p"
}
batch_runs () {
	test "$(agent_metric briarplank_batch_ended_total)" -ge 3
}
wait_until batch_runs

askers=
for i in 1 2 3 4 5
do
	ask $i 100 &
	askers="$askers $!"
done
all_admitted () {
	test "$(agent_metric briarplank_gate_admitted_total)" -ge 6
}
wait_until all_admitted
fleet_signal agent-1 TERM
fleet_wait agent-1 || fleet_fail "the agent ended with $?"
for pid in $askers
do
	wait "$pid" || fleet_fail "a stream was cut off"
done
for i in 1 2 3 4 5
do
	test "$(grep -c '^data: {' "$FLEET_DIR/ask.$i")" -eq 100 ||
		fleet_fail "stream $i has not 100 tokens"
	tail -n 1 "$FLEET_DIR/ask.$i" | grep -q '^200 0$' ||
		fleet_fail "stream $i: $(tail -n 1 "$FLEET_DIR/ask.$i")"
done

# Another agent finishes the job; nothing was counted as lost.
fleet_agent agent-2 akl-a akl claims "$(fleet_address engine-2)"
rm "$FLEET_DIR/agent-1.row"
fleet_publish
wait_until job_ended entry-1 night
test "$(job_field entry-1 night done)" -eq 60 ||
	fleet_fail "not 60 done: $(call "$url/v1/jobs/night")"
echo "5 streams of 100 tokens whole, the agent ended with 0, 60 items done"
