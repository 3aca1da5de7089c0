# Two engines change their model one at a time while requests succeed. An agent
# killed with an order in flight must let that order end before it sends another
# one, as a server without fencing may carry out the first one late. The last
# ready server of a service must not change.
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

# holds ENGINE VERSION: tells whether the engine has loaded this version.
holds () {
	curl -s "http://$(fleet_address "$1")/v1/held" |
		grep -q "\"model\":\"claims\",\"version\":\"$2\".*\"busy\":false"
}

busy () {
	curl -s "http://$(fleet_address "$1")/v1/held" | grep -q '"busy":true'
}

# Sends an online request and appends its status to a file.
send_request () {
	curl -s -o /dev/null -w '%{http_code}\n' \
		-H "Authorization: Bearer depot" \
		-d '{"prompt":"p","max_tokens":5,"stream":true}' \
		"$(fleet_url entry-1)/v1/services/claim-desk/v1/completions" \
		>>"$FLEET_DIR/statuses"
}

request_succeeds () {
	send_request
	test "$(tail -n 1 "$FLEET_DIR/statuses")" = 200
}

logged () {
	grep -q "$2" "$FLEET_DIR/$1.log"
}

# Both servers load a model; none was loaded before.
for name in agent-1 agent-2
do
	set_key server.$name.version 1
	set_key server.$name.model claims
done
wait_until holds engine-1 1
wait_until holds engine-2 1
wait_until request_succeeds

# Both servers change to version 2; all requests succeed meanwhile.
: >"$FLEET_DIR/statuses"
set_key server.agent-1.version 2
set_key server.agent-2.version 2
while ! { holds engine-1 2 && holds engine-2 2; }
do
	send_request
	test "$(wc -l <"$FLEET_DIR/statuses")" -lt 2000 ||
		fleet_fail "the servers did not change"
done
grep -v '^200$' "$FLEET_DIR/statuses" &&
	fleet_fail "a request failed during the change"
requests=$(wc -l <"$FLEET_DIR/statuses")

# An agent is killed with an order in flight to a server that ignores fencing
# numbers. After its restart it waits for the end of that order, and then loads
# the version that is configured now.
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
holds engine-2 4 ||
	fleet_fail "an earlier order took effect after the last one"

# The last ready server does not change its model until another is ready.
fleet_signal agent-2 TERM
fleet_wait agent-2 || fleet_fail "agent-2 exited with $?"
set_key server.agent-1.version 5
wait_until logged agent-1 "no other server of the service is ready"
holds engine-1 2 || fleet_fail "the last server changed"
wait_until request_succeeds
fleet_start_node agent-2
fleet_row agent-2 agent akl-a akl claim-desk
fleet_publish
wait_until holds engine-1 5

# In an outage of the log no order is sent, and requests still succeed.
curl -s -X POST "http://$FLEET_LOG/fault?kind=outage" >/dev/null
send_request
test "$(tail -n 1 "$FLEET_DIR/statuses")" = 200 ||
	fleet_fail "a request failed during the outage"
curl -s -X POST "http://$FLEET_LOG/fault?kind=none" >/dev/null

for node in entry-1 agent-1 agent-2
do
	fleet_signal "$node" TERM
done
for node in entry-1 agent-1 agent-2
do
	fleet_wait "$node" || fleet_fail "$node exited with $?"
done
echo "$requests requests succeeded during a change; no late order took effect"
