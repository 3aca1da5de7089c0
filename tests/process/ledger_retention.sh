# The log keeps records for 10 s only: results must stay readable, and a new
# owner must recover from a checkpoint.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
FLEET_PLATFORM_SETTINGS='"log_retention_ms": 10000'
LEDGER_LOG_OPTIONS="--retention-ms 10000"
fleet_begin
ledger_fleet 2

job_body 300 true "$FLEET_DIR/night"
wait_until submitted entry-1 night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&keep=1h"
wait_until job_ended entry-1 night
check_accounts entry-1 entry-2 night 300
first=$(results entry-1 night)
cp "$first" "$FLEET_DIR/before"

# Waits for twice the retention time, so that the log deletes the first records.
sleep 20
check_accounts entry-1 entry-2 night 300
cmp "$FLEET_DIR/before" "$(results entry-1 night)" ||
	fleet_fail "the results changed"

owner=$(shard_owner "$(job_field entry-1 night shard)")
other=entry-1
test "$owner" = entry-1 && other=entry-2
fleet_signal "$owner" KILL
readable () {
	cmp "$FLEET_DIR/before" "$(results "$other" night)"
}
wait_until readable
if grep "deleted before\|no checkpoint\|can't be loaded" "$FLEET_DIR"/entry-*.log
then
	fleet_fail "records were lost"
fi
test "$(submit "$other" night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&keep=1h")" = 200 ||
	fleet_fail "the new owner did not recognise the resent job"
