# The fleet's key pair and a caller's key are rotated node by node while
# requests run. No node may lose its peers, no request may fail, and at the end
# the old keys must be refused.
. tests/fleet/fleet.sh
fleet_begin

daemon=$BUILD/briarplankd/briarplankd
nodes="entry-1 entry-2 agent-1 agent-2 agent-3 agent-4"

# pair NAME: writes a key pair, as members of "keys", to $FLEET_DIR/NAME.
pair () {
	"$daemon" --make-keys | sed '1d; $d' | tr -d '\n\t' >"$FLEET_DIR/$1"
}

public () {
	sed 's/.*"public": "\([^"]*\)".*/\1/' "$FLEET_DIR/$1"
}

# keys PAIR [OTHER]: prints the settings member "keys" of a rotation step.
keys () {
	printf '"keys": { %s%s }' "$(cat "$FLEET_DIR/$1")" \
		"${2:+, \"other_public\": \"$(public "$2")\"}"
}

# access KEY...: prints the access list of a caller with these keys.
access () {
	for key in "$@"
	do
		printf '{"name":"depot","class":"online","key_sha256":"%s"}\n' \
			"$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)"
	done | paste -s -d, -
}

# configure NODE: writes the node's settings for the current rotation step.
configure () {
	awk -v keys="$KEYS" -v access="$ACCESS" '
		/^\t"keys": / { print "\t" keys ","; next }
		/"node": / && !/stop_grace/ {
			sub("{", "{ \"stop_grace_ms\": 100,")
		}
		/"access": / { print "\t\"access\": [ " access " ]"; next }
		{ print }' "$FLEET_DIR/$1.json" >"$FLEET_DIR/json" &&
		mv "$FLEET_DIR/json" "$FLEET_DIR/$1.json"
}

up_nr () {
	curl -s -m 2 "$(fleet_url "$1")/metrics" |
		sed -n 's/^briarplank_members_up.* \([0-9]*\)$/\1/p' |
		awk '{ sum += $1 } END { print sum + 0 }'
}

# Tells whether the five other nodes are up for each node.
all_connected () {
	for node in $nodes
	do
		test "$(up_nr "$node")" -eq 5 || return 1
	done
}

# restart NODE...: restarts nodes gracefully with their new settings.
restart () {
	for node in "$@"
	do
		fleet_signal "$node" TERM
	done
	for node in "$@"
	do
		fleet_wait "$node" || fleet_fail "$node ended with $?"
		mv "$FLEET_DIR/$node.log" "$FLEET_DIR/$node.before"
		configure "$node"
		fleet_start_node "$node"
		fleet_row_again "$node"
	done
	fleet_publish
	wait_until all_connected
	for node in "$@"
	do
		wait_until fleet_ready "$node"
	done
}

# replace_file FILE TEXT: writes a file atomically for concurrent readers.
replace_file () {
	echo "$2" >"$FLEET_DIR/$1.new"
	mv "$FLEET_DIR/$1.new" "$FLEET_DIR/$1"
}

# send_callers ENTRY: moves callers to an entry and waits until the other entry
# has no running requests.
send_callers () {
	replace_file entry "$1"
	wait_until grep -q "$1" "$FLEET_DIR/used"
}

# step: applies new settings to one half of the nodes, then to the other half.
# Callers are first moved off the entry that restarts; the file "entry" stands
# in for the load balancer.
step () {
	send_callers entry-2
	restart entry-1 agent-1 agent-2
	send_callers entry-1
	restart entry-2 agent-3 agent-4
}

# ask KEY ENTRY: prints the status of a request.
ask () {
	curl -s -o "$FLEET_DIR/answer" -w '%{http_code}\n' -m 10 \
		-H "Authorization: Bearer $1" \
		-d '{"prompt":"p","max_tokens":2}' \
		"$(fleet_url "$2")/v1/services/claim-desk/v1/completions"
}

call_continuously () {
	while ! test -e "$FLEET_DIR/over"
	do
		entry=$(cat "$FLEET_DIR/entry")
		echo "$entry" >"$FLEET_DIR/used"
		status=$(ask "$(cat "$FLEET_DIR/key")" "$entry")
		echo "$status"
		test "$status" = 200 || cat "$FLEET_DIR/answer" \
			>>"$FLEET_DIR/refusals.log"
		sleep 0.02
	done >"$FLEET_DIR/statuses"
}

pair old
pair new
fleet_platform
fleet_standin engine-1 engine
KEYS=$(keys old)
ACCESS=$(access depot-1)
FLEET_SETTINGS=$KEYS
FLEET_ACCESS=$ACCESS
for entry in entry-1 entry-2
do
	fleet_entry $entry akl-a akl
done
for agent in agent-1 agent-2 agent-3 agent-4
do
	fleet_agent $agent akl-a akl claim-desk "$(fleet_address engine-1)"
done
fleet_publish
wait_until all_connected
served () {
	test "$(ask depot-1 entry-1)" = 200
}
wait_until served

replace_file entry entry-1
replace_file key depot-1
call_continuously &
calls=$!
FLEET_PIDS="$FLEET_PIDS $calls"

# The steps accept the new keys, use them, and drop the old ones.
KEYS=$(keys old new)
ACCESS=$(access depot-1 depot-2)
step
replace_file key depot-2
KEYS=$(keys new old)
step
KEYS=$(keys new)
ACCESS=$(access depot-2)
step

touch "$FLEET_DIR/over"
wait $calls
total=$(wc -l <"$FLEET_DIR/statuses")
test "$(grep -c '^200$' "$FLEET_DIR/statuses")" -eq "$total" ||
	fleet_fail "requests failed: $(sort "$FLEET_DIR/statuses" | uniq -c)"
test "$total" -ge 100 || fleet_fail "only $total requests ran"

# A node that uses the old pair is refused, and so is the caller's old key.
test "$(ask depot-1 entry-1)" = 401 || fleet_fail "the old key was accepted"
FLEET_SETTINGS=$(keys old new)
fleet_agent late-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_publish
denied () {
	curl -s "$(fleet_url entry-1)/metrics" |
		grep -q '^briarplank_bus_denied_total [1-9]'
}
wait_until denied
curl -s "$(fleet_url late-1)/metrics" |
	grep -q '^briarplank_bus_received_total 0$' ||
	fleet_fail "the late node received a message"

# A malformed key is an error in the settings.
sed 's/"other_public": "[^"]*"/"other_public": "short"/' \
	"$FLEET_DIR/late-1.json" >"$FLEET_DIR/bad.json"
"$daemon" --config "$FLEET_DIR/bad.json" --check 2>"$FLEET_DIR/bad.out"
test $? -eq 2 || fleet_fail "an invalid key was accepted"
grep -q 'keys.other_public: ' "$FLEET_DIR/bad.out" ||
	fleet_fail "no error for the key: $(cat "$FLEET_DIR/bad.out")"
echo "both keys rotated on 6 nodes with $total requests, none failed"
