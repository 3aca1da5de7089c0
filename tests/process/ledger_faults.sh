# Faults of the log, entries and agents during a job of idempotent items and one
# of items that must not run twice. Each item must end once, two entries must
# return the same results, and the counts must match.
#
# ledger_faults.sh SEED [ITEMS]: SEED 1 to 4 selects the faults.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
seed=$1
items=${2:-${LEDGER_ITEMS:-1500}}
once=$((items / 3))
dead=
test "$once" -le 600 || once=600
FLEET_WAIT_MS=${LEDGER_WAIT_MS:-150000}
fleet_begin
ledger_fleet 3

job_body "$items" true "$FLEET_DIR/night"
job_body "$once" false "$FLEET_DIR/once"
wait_until submitted entry-1 night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&due=2030-01-01T00:00:00Z&keep=1h"
wait_until submitted entry-2 once "$FLEET_DIR/once" \
	"service=letters&path=tally%3Fms%3D40&keep=1h"
night=$(shard_owner "$(job_field entry-1 night shard)")
letters=$(shard_owner "$(job_field entry-1 once shard)")
echo "seed $seed: $night owns night, $letters owns once"

# kill_entry ENTRY: kills an entry and excludes it from the checks below, as the
# shell may notice its death only later.
kill_entry () {
	fleet_signal "$1" KILL
	dead=$1
}

# pause NODE SECONDS: stops a node's process for that time.
pause () {
	fleet_signal "$1" STOP
	sleep "$2"
	fleet_signal "$1" CONT
}

case "$seed" in
1)	# Answers to appends are lost, then an owner dies.
	log_fault "kind=lose_answer&count=5"
	sleep 2
	kill_entry "$night"
	;;
2)	# An owner is paused until another takes over, and then continues.
	sleep 1
	pause "$night" 7
	sleep 1
	pause "$letters" 7
	;;
3)	# Appends are stored twice; agents are killed and paused.
	log_fault "kind=duplicate&count=20"
	sleep 1
	fleet_signal agent-1 KILL
	pause agent-2 8
	pause agent-3 9
	fleet_start_node agent-1
	fleet_row agent-1 agent akl-a akl claims
	fleet_publish
	;;
4)	# The log is out for 6 s; an owner dies once it is back.
	sleep 1
	log_fault "kind=outage"
	sleep 6
	log_fault "kind=none"
	sleep 1
	log_fault "kind=lose_answer&count=3"
	kill_entry "$letters"
	sleep 1
	log_fault "kind=slow&ms=300"
	sleep 4
	log_fault "kind=none"
	;;
esac

alive=
for entry in $ENTRIES
do
	test "$entry" = "$dead" || alive="$alive $entry"
done
set -- $alive
wait_until job_ended "$1" night
wait_until job_ended "$2" once
check_accounts "$1" "$2" night "$items"
check_accounts "$2" "$1" once "$once"
check_once
test "$(job_field "$1" night done)" -ge $((items - items / 50)) ||
	fleet_fail "too few items are done"
