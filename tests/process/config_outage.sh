# Two operators change the same key in two regions while nodes are killed,
# suspended and partitioned, the log is down and 20 nodes restart. All nodes
# must end at the same revision, and no node's revision may ever decrease.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator bob:ops:operator")
fleet_platform
log=$FLEET_LOG
fleet_regions akl chc
fleet_standin wan-log proxy
far_log=$(fleet_link wan-log log "$log")
fleet_standin engine-1 engine
engine=$(fleet_address engine-1)

agents=
restarted=entry-2
i=1
while test $i -le 20
do
	agents="$agents agent-$i"
	test $i -eq 1 || restarted="$restarted agent-$i"
	i=$((i + 1))
done
nodes="entry-1 entry-2 entry-3 entry-4$agents"

# place NODE: sets the data centre, region and log address of a node.
place () {
	case "$1" in
	entry-[34] | agent-1[5-9] | agent-20)
		region=chc data_centre=chc-a FLEET_LOG=$far_log ;;
	*[1256])
		region=akl data_centre=akl-a FLEET_LOG=$log ;;
	*)
		region=akl data_centre=akl-b FLEET_LOG=$log ;;
	esac
}

for node in $nodes
do
	place "$node"
	case "$node" in
	entry-*) fleet_entry "$node" $data_centre $region ;;
	*) fleet_agent "$node" $data_centre $region claim-desk "$engine" ;;
	esac
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

all_at () {
	for node in $nodes
	do
		test "$(revision "$node")" = "$1" || return 1
	done
}

all_equal () {
	all_at "$(revision entry-1)"
}

# compete ENTRY OPERATOR: changes a key repeatedly until the file "over" exists,
# and records the HTTP statuses.
compete () {
	changes=0
	while ! test -e "$FLEET_DIR/over"
	do
		changes=$((changes + 1))
		command "$1" "$2" "set service.chat.timeout_ms $((4000 + changes))"
		echo
		sleep 0.2
	done >"$FLEET_DIR/statuses.$2"
}

# done_by OPERATOR NR: tells whether at least this number of the operator's
# changes succeeded.
done_by () {
	test "$(grep -c 200 "$FLEET_DIR/statuses.$1")" -ge "$2"
}

# sees_all ENTRY: tells whether the 23 other nodes are up for this entry.
sees_all () {
	test "$(curl -s -m 2 "$(fleet_url "$1")/metrics" |
		sed -n 's/^briarplank_members_up.* \([0-9]*\)$/\1/p' |
		awk '{ sum += $1 } END { print sum + 0 }')" -eq 23
}

# reports_down ENTRY NODE: tells whether the entry reports the node as down.
reports_down () {
	grep -q "$2 is down" "$FLEET_DIR/$1.log"
}

for entry in entry-1 entry-3
do
	wait_until sees_all $entry
done
test "$(command entry-1 ann 'set service.chat.timeout_ms 1000')" = 200 ||
	fleet_fail "the first change was refused"
wait_until all_at 1

# Two concurrent changes at two entries, both based on revision 1.
command entry-1 ann 'set service.chat.timeout_ms 2000 if revision 1' \
	>"$FLEET_DIR/one" &
one=$!
command entry-3 bob 'set service.chat.timeout_ms 3000 if revision 1' \
	>"$FLEET_DIR/two" &
two=$!
wait $one $two
test "$(cat "$FLEET_DIR/one" "$FLEET_DIR/two" | sort)" = 200409 ||
	test "$(cat "$FLEET_DIR/one")$(cat "$FLEET_DIR/two")" = 409200 ||
	fleet_fail "not one success: $(cat "$FLEET_DIR/one" "$FLEET_DIR/two")"
grep -q 'was changed at revision' "$FLEET_DIR"/answer.ann \
	"$FLEET_DIR"/answer.bob || fleet_fail "the conflict lacks the revision"

# From now on both operators change the key continuously, one in each region.
(compete entry-1 ann) &
ann=$!
(compete entry-3 bob) &
bob=$!
FLEET_PIDS="$FLEET_PIDS $ann $bob"

wait_until done_by ann 2
wait_until done_by bob 2

# Suspended nodes and a partitioned region miss changes; then the log is down.
fleet_signal agent-1 STOP
fleet_signal entry-4 STOP
for proxy in wan-akl wan-chc wan-log
do
	fleet_fault $proxy kind=cut
done
test "$(command entry-2 bob 'set service.chat.batch_weight 10')" = 200 ||
	fleet_fail "a change was refused"
fleet_fault log kind=outage
during=$(command entry-2 bob 'set service.chat.batch_weight 20' resend-1)
test "$during" = 503 || test "$during" = 504 ||
	fleet_fail "a change in the outage got $during"

wait_until reports_down entry-1 agent-1
wait_until reports_down entry-1 entry-3

# Meanwhile 20 nodes restart and load the configuration from their peers.
for node in $restarted
do
	fleet_signal "$node" KILL
done
for node in $restarted
do
	wait "$(fleet_pid "$node")" 2>/dev/null
	mv "$FLEET_DIR/$node.log" "$FLEET_DIR/$node.before"
	fleet_start_node "$node"
	fleet_row_again "$node"
done
fleet_publish
fleet_signal agent-1 CONT
fleet_signal entry-4 CONT
for node in $nodes
do
	wait_until fleet_ready "$node"
done
for proxy in wan-akl wan-chc wan-log
do
	fleet_fault $proxy kind=none
done
wait_until all_equal

# The log is up again; retries of the change with unknown outcome all have the
# same result.
fleet_fault log kind=none
retry () {
	test "$(command entry-2 bob 'set service.chat.batch_weight 20' \
		resend-1)" = 200
}
for operator in ann bob
do
	wait_until done_by $operator \
		$(($(grep -c 200 "$FLEET_DIR/statuses.$operator") + 2))
done
touch "$FLEET_DIR/over"
wait $ann $bob
wait_until retry
first=$(sed 's/.*revision \([0-9]*\).*/\1/' "$FLEET_DIR/answer.bob")
retry || fleet_fail "the retry was refused"
test "$(sed 's/.*revision \([0-9]*\).*/\1/' "$FLEET_DIR/answer.bob")" = \
	"$first" || fleet_fail "the retry had another result"
wait_until all_at "$(revision entry-2)"

# Each change succeeded, conflicted, was refused or has an unknown outcome.
for operator in ann bob
do
	if grep -qvE '^(200|409|503|504)$' "$FLEET_DIR/statuses.$operator"
	then
		fleet_fail "$operator: $(sort "$FLEET_DIR/statuses.$operator" |
			uniq -c)"
	fi
done

# The revisions in each node's log, including restarts, never decrease.
for node in $nodes
do
	cat "$FLEET_DIR/$node.before" "$FLEET_DIR/$node.log" 2>/dev/null |
		sed -n 's/.*config: revision \([0-9]*\) is in force.*/\1/p' |
		awk '$1 < last { exit 1 } { last = $1 }' ||
		fleet_fail "the revision of $node decreased"
done
echo "24 nodes, 20 restarted in an outage, end at revision $(revision entry-1)"
