# Two operators change the same key while nodes are killed, frozen and started
# anew and the log goes out and comes back: every node ends at the same
# revision, and none was ever seen going back.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator bob:ops:operator")
fleet_platform
fleet_standin engine-1 engine
engine=$(fleet_address engine-1)
entries="entry-1 entry-2 entry-3 entry-4"
agents="agent-1 agent-2 agent-3 agent-4 agent-5 agent-6 agent-7 agent-8"
nodes="$entries $agents"

data_centre () {
	case "$1" in
	*[1256]) echo akl-a ;;
	*) echo chc-a ;;
	esac
}

for node in $entries
do
	fleet_entry "$node" "$(data_centre "$node")" akl
done
for node in $agents
do
	fleet_agent "$node" "$(data_centre "$node")" akl claim-desk "$engine"
done
fleet_publish
for node in $nodes
do
	wait_until fleet_ready "$node"
done

# command ENTRY OPERATOR COMMAND [ID]: prints the HTTP status.
command () {
	curl -s -o "$FLEET_DIR/answer.$2" -w '%{http_code}' -m 15 \
		-H "Authorization: Bearer $2" ${4:+-H "Idempotency-Key: $4"} \
		-d "$3" "$(fleet_url "$1")/v1/operator"
}

revision () {
	curl -s -m 2 "$(fleet_url "$1")/metrics" |
		sed -n 's/^briarplank_config_revision \([0-9]*\)$/\1/p'
}

# Starts a node again; its revisions of before are kept to compare.
restart () {
	fleet_signal "$1" KILL
	wait "$(fleet_pid "$1")" 2>/dev/null
	mv "$FLEET_DIR/$1.log" "$FLEET_DIR/$1.before"
	fleet_start_node "$1"
}

all_at () {
	for node in $nodes
	do
		test "$(revision "$node")" = "$1" || return 1
	done
}

test "$(command entry-1 ann 'set service.chat.timeout_ms 1000')" = 200 ||
	fleet_fail "the first change was refused"
wait_until all_at 1

# Both base their change on revision 1, at two entries at once.
command entry-1 ann 'set service.chat.timeout_ms 2000 if revision 1' \
	>"$FLEET_DIR/one" &
one=$!
command entry-3 bob 'set service.chat.timeout_ms 3000 if revision 1' \
	>"$FLEET_DIR/two" &
two=$!
wait $one $two
test "$(cat "$FLEET_DIR/one" "$FLEET_DIR/two" | sort)" = 200409 ||
	test "$(cat "$FLEET_DIR/one")$(cat "$FLEET_DIR/two")" = 409200 ||
	fleet_fail "not one winner: $(cat "$FLEET_DIR/one" "$FLEET_DIR/two")"
grep -q 'was changed at revision' "$FLEET_DIR"/answer.ann \
	"$FLEET_DIR"/answer.bob || fleet_fail "the loser isn't told the revision"

# A frozen node misses a change; the log goes out; changes are refused.
fleet_signal agent-1 STOP
fleet_signal entry-4 STOP
test "$(command entry-2 ann 'set service.chat.batch_weight 10')" = 200 ||
	fleet_fail "a change was refused"
curl -s -X POST "http://$FLEET_LOG/fault?kind=outage" >/dev/null
during=$(command entry-1 ann 'set service.chat.batch_weight 20' resend-1)
test "$during" = 503 || test "$during" = 504 ||
	fleet_fail "a change in the outage got $during"

# Most nodes start anew while the log is out, and take what their peers hold.
for node in entry-1 entry-2 agent-2 agent-3 agent-4 agent-5 agent-6 agent-7
do
	restart "$node"
done
for node in entry-1 entry-2 agent-2 agent-3 agent-4 agent-5 agent-6 agent-7
do
	row=$(cat "$FLEET_DIR/$node.row")
	old=$(printf '%s' "$row" | sed 's/.*"address":"\([^"]*\)".*/\1/')
	printf '%s\n' "$row" | sed "s/$old/$(fleet_word "$node" bus)/" \
		>"$FLEET_DIR/$node.row"
done
fleet_publish
fleet_signal agent-1 CONT
fleet_signal entry-4 CONT
for node in $nodes
do
	wait_until fleet_ready "$node"
done
highest=$(revision entry-3)
wait_until all_at "$highest"

# The log is back; the change that was in doubt has one result.
curl -s -X POST "http://$FLEET_LOG/fault?kind=none" >/dev/null
again () {
	test "$(command entry-2 ann 'set service.chat.batch_weight 20' \
		resend-1)" = 200
}
wait_until again
first=$(sed 's/.*revision \([0-9]*\).*/\1/' "$FLEET_DIR/answer.ann")
again || fleet_fail "the resend was refused"
test "$(sed 's/.*revision \([0-9]*\).*/\1/' "$FLEET_DIR/answer.ann")" = \
	"$first" || fleet_fail "the resend had another result"
wait_until all_at "$(revision entry-2)"

# The revisions in each node's log, its restarts included, only go up.
for node in $nodes
do
	cat "$FLEET_DIR/$node.before" "$FLEET_DIR/$node.log" 2>/dev/null |
		sed -n 's/.*config: revision \([0-9]*\) is in force.*/\1/p' |
		awk '$1 < last { exit 1 } { last = $1 }' ||
		fleet_fail "$node went back"
done
echo "12 nodes, 8 restarted in an outage, end at revision $(revision entry-1)"
