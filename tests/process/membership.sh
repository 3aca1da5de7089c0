# States that entries report for nodes that leave, are killed, are suspended,
# restart at another address, or are not in the VM list yet.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator")
fleet_platform
fleet_standin engine-1 engine
engine=$(fleet_address engine-1)
for i in 1 2 3
do
	fleet_entry "entry-$i" akl-a akl
	fleet_agent "agent-$i" akl-b akl claim-desk "$engine"
done
fleet_publish
for i in 1 2 3
do
	wait_until fleet_ready "entry-$i"
	wait_until fleet_ready "agent-$i"
done

# state NODE STATE [ENTRY]: an entry reports a node in this state.
state () {
	curl -s -H "Authorization: Bearer ann" \
		-d "show nodes where node = $1 and state = $2" \
		"$(fleet_url "${3:-entry-1}")/v1/operator" |
		grep -q "\"node\":\"$1\""
}

for i in 1 2 3
do
	wait_until state "agent-$i" up
	wait_until state "agent-$i" up "entry-2"
done
wait_until state entry-2 up
wait_until state entry-3 up

# A node that leaves is reported within 3 s, and its process ends.
FLEET_WAIT_MS=3000
fleet_signal agent-1 TERM
left () {
	state agent-1 leaving "$1" || state agent-1 down "$1"
}
wait_until left entry-1
wait_until left entry-2
fleet_wait agent-1 || fleet_fail "agent-1 ended with $?"

# Killed and suspended nodes are down; a suspended one is up again once resumed.
FLEET_WAIT_MS=8000
fleet_signal agent-2 KILL
wait_until state agent-2 down
fleet_signal agent-3 STOP
wait_until state agent-3 down
wait_until state agent-3 down entry-3
fleet_signal agent-3 CONT
wait_until state agent-3 up
wait_until state agent-3 up entry-3

# An entry that was suspended does not report the others as down.
fleet_signal entry-3 STOP
sleep 4
before=$(grep -c 'is down' "$FLEET_DIR/entry-3.log")
fleet_signal entry-3 CONT
wait_until state entry-3 up
sleep 1
test "$(grep -c 'is down' "$FLEET_DIR/entry-3.log")" -eq "$before" ||
	fleet_fail "the suspended entry reported others as down"

# A node that restarts at another address is up before the VM list has it.
mv "$FLEET_DIR/agent-2.log" "$FLEET_DIR/agent-2.before"
fleet_start_node agent-2
wait_until state agent-2 up
wait_until state agent-2 up entry-2
echo "leaving, killed, suspended and restarted nodes are reported correctly"
