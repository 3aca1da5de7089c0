# Runs the commands of FILE with fake_entry against a real agent.
#
# usage: agent.sh FILE
. tests/fleet/fleet.sh
fleet_begin
FLEET_LEVEL=debug
fleet_platform
fleet_standin engine-1 engine
fleet_agent agent-1 akl-a akl chat "$(fleet_address engine-1)"
fleet_publish
"$BUILD/tests/faults/fake_entry" agent-1 "$(fleet_word agent-1 bus)" <"$1" \
	>"$FLEET_DIR/messages.log" || fleet_fail "see messages.log"
fleet_signal agent-1 TERM
fleet_wait agent-1 || fleet_fail "the agent exited with $?"
echo "all commands passed"
