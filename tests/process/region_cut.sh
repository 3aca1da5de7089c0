# Two regions with a latency of 60 ms each way are partitioned while requests
# and a job run and an operator sets keys. The region chc has fewer nodes and
# loses its connection to the log.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "desk:batch depot:online ann:ops:operator")
fleet_platform
log=$FLEET_LOG
fleet_regions akl chc -- --delay-ms 60
fleet_standin wan-log proxy --delay-ms 60
far_log=$(fleet_link wan-log log "$log")
fleet_standin engine-akl engine --base-gap-us 1000
fleet_standin engine-chc engine --base-gap-us 1000

akl_nodes="entry-1 entry-2 agent-1 agent-2 agent-3"
chc_nodes="entry-3 entry-4 agent-4"
ENTRIES="entry-1 entry-2 entry-3 entry-4"
for entry in entry-1 entry-2
do
	fleet_entry $entry akl-a akl
done
for agent in agent-1 agent-2 agent-3
do
	fleet_agent $agent akl-a akl claims "$(fleet_address engine-akl)"
done
FLEET_LOG=$far_log
for entry in entry-3 entry-4
do
	fleet_entry $entry chc-a chc
done
fleet_agent agent-4 chc-a chc claims "$(fleet_address engine-chc)"
fleet_publish
for node in $akl_nodes $chc_nodes
do
	wait_until fleet_ready "$node"
done
wait_until all_owned

number () {
	curl -s -m 2 "$(fleet_url "$1")/metrics" |
		sed -n "s/^$2 \\([0-9]*\\)\$/\\1/p"
}

# Tells whether the seven other nodes are up for each node.
sees_all () {
	for node in $akl_nodes $chc_nodes
	do
		up=$(curl -s -m 2 "$(fleet_url "$node")/metrics" |
			sed -n 's/^briarplank_members_up.* \([0-9]*\)$/\1/p' |
			awk '{ sum += $1 } END { print sum + 0 }')
		test "$up" -eq 7 || return 1
	done
}
wait_until sees_all

# command ENTRY COMMAND: prints the HTTP status.
command () {
	curl -s -o "$FLEET_DIR/answer.ann" -w '%{http_code}' -m 15 \
		-H "Authorization: Bearer ann" -d "$2" \
		"$(fleet_url "$1")/v1/operator"
}

all_at () {
	for node in $akl_nodes $chc_nodes
	do
		test "$(number "$node" briarplank_config_revision)" = "$1" ||
			return 1
	done
}

# Over the slow link a change is applied at all nodes within 8 s.
test "$(command entry-1 'set service.claims.timeout_ms 20000')" = 200 ||
	fleet_fail "the first change was refused"
saved=$FLEET_WAIT_MS
FLEET_WAIT_MS=8000
wait_until all_at "$(number entry-1 briarplank_config_revision)"
test "$(command entry-3 'set service.claims.timeout_ms 21000')" = 200 ||
	fleet_fail "a change by chc was refused"
wait_until all_at "$(number entry-3 briarplank_config_revision)"
FLEET_WAIT_MS=$saved

# ask ENTRY: gets a complete streamed answer.
ask () {
	curl -sN -m 10 -H "Authorization: Bearer depot" \
		-d '{"prompt":"p","max_tokens":2,"stream":true}' \
		"$(fleet_url "$1")/v1/services/claims/v1/completions" |
		grep -q '^data: \[DONE\]'
}

admitted () {
	sum=0
	for node in $1
	do
		sum=$((sum + $(number "$node" briarplank_gate_admitted_total)))
	done
	echo $sum
}

# Requests are served in their own region.
before=$(admitted "agent-4")
akl_before=$(admitted "agent-1 agent-2 agent-3")
for i in 1 2 3 4 5 6 7 8 9 10
do
	ask entry-3 || fleet_fail "request $i of chc was not answered"
	ask entry-1 || fleet_fail "request $i of akl was not answered"
done
test $(($(admitted agent-4) - before)) -eq 10 ||
	fleet_fail "requests of chc went to akl"
test $(($(admitted "agent-1 agent-2 agent-3") - akl_before)) -eq 10 ||
	fleet_fail "requests of akl went to chc"

# The job runs in both regions when they are partitioned.
job_body 1500 true "$FLEET_DIR/body"
test "$(submit entry-3 lot "$FLEET_DIR/body" \
	"service=claims&path=v1/completions&keep=1h")" = 201 ||
	fleet_fail "the job was refused"
runs () {
	test "$(job_field entry-1 lot done)" -gt 20
}
wait_until runs
for proxy in wan-akl wan-chc wan-log
do
	fleet_fault $proxy kind=cut
done
started=$(date +%s)
downs=$(cat "$FLEET_DIR"/entry-[34].log "$FLEET_DIR/agent-4.log" |
	grep -c 'is down')

# During the partition each region serves its callers, and the region akl
# accepts changes from its operator.
changes=0
while test $(($(date +%s) - started)) -lt 7
do
	ask entry-1 || fleet_fail "akl didn't serve during the partition"
	ask entry-4 || fleet_fail "chc didn't serve during the partition"
	test "$(command entry-2 "set service.claims.timeout_ms $((22000 + changes))")" = 200 ||
		fleet_fail "akl's operator was refused during the partition"
	changes=$((changes + 1))
	sleep 0.5
done
during=$(number entry-1 briarplank_config_revision)
chc_revision=$(number entry-3 briarplank_config_revision)
test "$chc_revision" -lt "$during" || fleet_fail "there was no partition"
test "$(cat "$FLEET_DIR"/entry-[34].log "$FLEET_DIR/agent-4.log" |
	grep -c 'is down')" -eq "$downs" ||
	fleet_fail "the smaller side reported others as down"
grep -q 'entry-3 is down' "$FLEET_DIR/entry-1.log" ||
	fleet_fail "the larger side didn't report the loss"

# After the partition all nodes have the same revision, and each item ended
# once.
for proxy in wan-akl wan-chc wan-log
do
	fleet_fault $proxy kind=none
done
wait_until all_at "$(number entry-1 briarplank_config_revision)"
wait_until sees_all
for node in $akl_nodes $chc_nodes
do
	sed -n 's/.*config: revision \([0-9]*\) is in force.*/\1/p' \
		"$FLEET_DIR/$node.log" |
		awk '$1 < last { exit 1 } { last = $1 }' ||
		fleet_fail "the revision of $node decreased"
done
FLEET_WAIT_MS=40000
wait_until job_ended entry-1 lot
check_accounts entry-1 entry-3 lot 1500
test "$(job_field entry-1 lot done)" -eq 1500 ||
	fleet_fail "not all items are done"
echo "partitioned for 7 s at revisions $during and $chc_revision, then equal"
