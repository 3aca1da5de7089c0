# Engines change their model one after the other while callers are answered;
# an agent that dies with an order out waits it out when it is back; the last
# ready server of a service keeps what it holds.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator depot:online")
echo ann >"$FLEET_DIR/ann.key"
fleet_platform
fleet_standin weights weights --bytes 1000000 --bytes-per-s 10000000
fleet_standin engine-1 engine --fencing on --order-ms 400 --base-gap-us 2000
fleet_standin engine-2 engine --fencing off --order-ms 1500 --base-gap-us 2000
fleet_entry entry-1 akl-a akl
FLEET_PLATFORM_SETTINGS="\"weight_store\": \"$(fleet_address weights)\""
FLEET_SERVER='"checks_fencing": true'
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
FLEET_SERVER='"checks_fencing": false'
fleet_agent agent-2 akl-a akl claim-desk "$(fleet_address engine-2)"
fleet_publish
for node in entry-1 agent-1 agent-2
do
	wait_until fleet_ready "$node"
done

set_key () {
	"$BUILD/briarplankctl/briarplankctl" -e "$(fleet_url entry-1)" \
		-k "$FLEET_DIR/ann.key" "set $1 \"$2\"" \
		>"$FLEET_DIR/set.out" 2>&1 </dev/null ||
		fleet_fail "set $1: $(cat "$FLEET_DIR/set.out")"
}

# holds ENGINE VERSION
holds () {
	curl -s "http://$(fleet_address "$1")/v1/held" |
		grep -q "\"model\":\"claims\",\"version\":\"$2\".*\"busy\":false"
}

busy () {
	curl -s "http://$(fleet_address "$1")/v1/held" | grep -q '"busy":true'
}

# An online request; each status goes into a file.
ask () {
	curl -s -o /dev/null -w '%{http_code}\n' \
		-H "Authorization: Bearer depot" \
		-d '{"prompt":"p","max_tokens":5,"stream":true}' \
		"$(fleet_url entry-1)/v1/services/claim-desk/v1/completions" \
		>>"$FLEET_DIR/statuses"
}

answered () {
	ask
	test "$(tail -n 1 "$FLEET_DIR/statuses")" = 200
}

logged () {
	grep -q "$2" "$FLEET_DIR/$1.log"
}

# Both servers get their first model; nothing was loaded before.
for name in agent-1 agent-2
do
	set_key server.$name.version 1
	set_key server.$name.model claims
done
wait_until holds engine-1 1
wait_until holds engine-2 1
wait_until answered

# Both change; callers are answered all the while.
: >"$FLEET_DIR/statuses"
set_key server.agent-1.version 2
set_key server.agent-2.version 2
while ! { holds engine-1 2 && holds engine-2 2; }
do
	ask
	test "$(wc -l <"$FLEET_DIR/statuses")" -lt 2000 ||
		fleet_fail "the servers did not change"
done
grep -v '^200$' "$FLEET_DIR/statuses" &&
	fleet_fail "a caller was not answered during the change"
asked=$(wc -l <"$FLEET_DIR/statuses")

# An agent dies with an order out, to a server that ignores fencing numbers.
# When it is back it waits that order out, and then loads what is wanted now.
set_key server.agent-2.version 3
wait_until busy engine-2
fleet_signal agent-2 KILL
fleet_wait agent-2
set_key server.agent-2.version 4
fleet_start_node agent-2
fleet_row agent-2 agent akl-a akl claim-desk
fleet_publish
wait_until holds engine-2 4
sleep 2
holds engine-2 4 || fleet_fail "an earlier order came after the last"

# The last ready server keeps what it holds, until another is ready.
fleet_signal agent-2 TERM
fleet_wait agent-2 || fleet_fail "agent-2 ended with $?"
set_key server.agent-1.version 5
wait_until logged agent-1 "no other server of the service is ready"
holds engine-1 2 || fleet_fail "the last server changed"
wait_until answered
fleet_start_node agent-2
fleet_row agent-2 agent akl-a akl claim-desk
fleet_publish
wait_until holds engine-1 5

# In an outage of the log nothing is ordered, and callers are answered.
curl -s -X POST "http://$FLEET_LOG/fault?kind=outage" >/dev/null
ask
test "$(tail -n 1 "$FLEET_DIR/statuses")" = 200 ||
	fleet_fail "no answer in the outage"
curl -s -X POST "http://$FLEET_LOG/fault?kind=none" >/dev/null

for node in entry-1 agent-1 agent-2
do
	fleet_signal "$node" TERM
done
for node in entry-1 agent-1 agent-2
do
	fleet_wait "$node" || fleet_fail "$node ended with $?"
done
echo "$asked requests answered during a change; later orders were kept apart"
