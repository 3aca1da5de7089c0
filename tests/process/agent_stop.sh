# An agent gets SIGTERM while online streams and batch items run. It must
# finish all streams, return the items that have not started, and exit with 0.
# A stop that doesn't wait for them would cut streams off or lose items.
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

send_request () {
	curl -sN -H "Authorization: Bearer depot" -w '%{http_code} %{exitcode}\n' \
		-d "{\"prompt\":\"claim $1\",\"max_tokens\":$2,\"stream\":true}" \
		"$url/v1/services/claims/v1/completions" >"$FLEET_DIR/response.$1"
}
request_succeeds () {
	send_request 0 1 && grep -q DONE "$FLEET_DIR/response.0"
}
wait_until request_succeeds

job_body 60 true "$FLEET_DIR/night"
sed -i 's/"max_tokens":1/"max_tokens":40/' "$FLEET_DIR/night"
wait_until submitted entry-1 night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&due=2030-01-01T00:00:00Z&keep=1h"
agent_metric () {
	curl -s "$(fleet_url agent-1)/metrics" | sed -n "s/^$1 //p"
}
batch_items_ended () {
	test "$(agent_metric briarplank_batch_ended_total)" -ge 3
}
wait_until batch_items_ended

request_pids=
for i in 1 2 3 4 5
do
	send_request $i 100 &
	request_pids="$request_pids $!"
done
all_admitted () {
	test "$(agent_metric briarplank_gate_admitted_total)" -ge 6
}
wait_until all_admitted
fleet_signal agent-1 TERM
fleet_wait agent-1 || fleet_fail "the agent exited with $?"
for pid in $request_pids
do
	wait "$pid" || fleet_fail "a stream was cut off"
done
for i in 1 2 3 4 5
do
	test "$(grep -c '^data: {' "$FLEET_DIR/response.$i")" -eq 100 ||
		fleet_fail "stream $i does not have 100 tokens"
	tail -n 1 "$FLEET_DIR/response.$i" | grep -q '^200 0$' ||
		fleet_fail "stream $i: $(tail -n 1 "$FLEET_DIR/response.$i")"
done

# Another agent finishes the job, and no item counts as lost.
fleet_agent agent-2 akl-a akl claims "$(fleet_address engine-2)"
rm "$FLEET_DIR/agent-1.row"
fleet_publish
wait_until job_ended entry-1 night
test "$(job_field entry-1 night done)" -eq 60 ||
	fleet_fail "not 60 items done: $(call "$url/v1/jobs/night")"
echo "5 streams of 100 tokens complete, the agent exited with 0, 60 items done"
