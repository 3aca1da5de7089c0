# Operators' commands through briarplankctl: exit statuses, conflicts, resends,
# partial lists, and drains that take effect within seconds.
. tests/fleet/fleet.sh
. tests/process/operator.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator bob:ops:operator depot:online")
fleet_platform
fleet_standin engine-1 engine
engine=$(fleet_address engine-1)
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 chc-a chc
fleet_agent agent-1 akl-a akl claim-desk "$engine"
fleet_agent agent-2 chc-a chc claim-desk "$engine"
fleet_publish
for node in entry-1 entry-2 agent-1 agent-2
do
	wait_until fleet_ready "$node"
done
echo ann >"$FLEET_DIR/ann.key"
# ask ENTRY ARGS...: prints an answer without checking the exit status.
ask () {
	entry=$1
	shift
	"$BUILD/briarplankctl/briarplankctl" -e "$(fleet_url "$entry")" \
		-k "$FLEET_DIR/ann.key" "$@" </dev/null
}

all_up () {
	test "$(ask entry-1 show servers | grep -c ' up ')" -eq 2
}

drained () {
	ask entry-2 show servers where server = agent-1 and drained = "$1" |
		grep -q '^agent-1'
}

wait_until all_up

# Callers without an operator's key are refused.
ctl 1 entry-1 nobody show nodes
said 'does not belong to an operator'
ctl 1 entry-1 depot show nodes
said 'depot is not an operator'

# After many requests with wrong keys, further ones get 429. Valid keys are
# still accepted.
i=0
while test $i -lt 40
do
	i=$((i + 1))
	curl -s -o /dev/null -w '%{http_code}\n' -d 'show nodes' \
		-H "Authorization: Bearer wrong-$i" \
		"$(fleet_url entry-1)/v1/operator"
done >"$FLEET_DIR/out"
said '^401$'
said '^429$'
ctl 0 entry-1 ann show nodes

# Syntax errors name the column, invalid values the allowed range.
ctl 2 entry-1 ann show servant
said 'column 6'
ctl 1 entry-1 ann set service.chat.timeout_ms 0
said 'between 1 and 86400000 ms'
ctl 1 entry-1 ann create service chat colour 1
said 'column 21: there is no key service.chat.colour'
ctl 1 entry-1 ann drain server agent-9
said 'no server agent-9'

# A service is created once; a resent command gets the first result.
ctl 0 entry-1 ann --id c-1 create service chat timeout_ms 1000
ctl 0 entry-2 ann --id c-1 create service chat timeout_ms 1000
ctl 1 entry-2 bob create service chat timeout_ms 1000
said 'already exists'
ctl 1 entry-2 ann --id c-1/1 set service.chat.timeout_ms 2000
said 'was used for another command'

# Of two changes conditional on the same revision, only the first succeeds.
ctl 0 entry-1 ann drain server agent-1
FLEET_WAIT_MS=3000
wait_until drained true
FLEET_WAIT_MS=20000
base=$(ask entry-1 -o json show config |
	sed 's/.*"config_revision":\([0-9]*\).*/\1/')
ctl 0 entry-1 ann set server.agent-1.drained false if revision "$base"
ctl 1 entry-2 bob set server.agent-1.drained true if revision "$base"
said "was changed at revision"
wait_until drained false

# If an agent doesn't answer, the list is partial and names the agent.
fleet_signal agent-2 STOP
ctl 4 entry-1 ann show servers
said 'partial, as 1 of 2 nodes'
ctl 4 entry-1 ann -o json show servers
said '"nodes_silent":\["agent-2"\]'
fleet_signal agent-2 CONT
wait_until all_up

# Commands are read from standard input, one per line.
printf '# a comment\nshow config\nshow nothing\n' |
	"$BUILD/briarplankctl/briarplankctl" -e "$(fleet_url entry-1)" \
		-k "$FLEET_DIR/ann.key" >"$FLEET_DIR/out" 2>&1
test $? -eq 2 || fleet_fail "a script with a usage error must end with 2"
said 'service.chat.created'
# Without a running entry no command is sent. Waits for the killed entry to end,
# as until then it may accept a connection, and the client can't be sure that
# the command was not sent.
fleet_signal entry-2 KILL
fleet_wait entry-2
ctl 3 entry-2 ann show nodes
said 'nothing was sent'
echo "commands, conflicts, resends and partial lists have the right statuses"
