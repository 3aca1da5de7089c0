# The owner of the shard of two jobs dies during an outage of the log, so that
# no other of the four entries can take over until the log is back. Each item
# must end once.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
FLEET_SHARDS=1
fleet_begin
ledger_fleet 4

job_body 600 true "$FLEET_DIR/night"
job_body 60 false "$FLEET_DIR/once"
wait_until submitted entry-1 night "$FLEET_DIR/night" \
	"service=claims&path=v1/completions&keep=1h"
wait_until submitted entry-2 once "$FLEET_DIR/once" \
	"service=letters&path=tally%3Fms%3D40&keep=1h"
some_done () {
	test "$(job_field entry-3 "$1" done)" -ge 5
}
wait_until some_done night
wait_until some_done once

claims () {
	grep -h "shard 0: owned from" "$FLEET_DIR"/entry-*.log | wc -l
}
before=$(claims)
log_fault "kind=outage"
owner=$(shard_owner 0)
fleet_signal "$owner" KILL
near=
for entry in $ENTRIES
do
	test "$entry" != "$owner" || continue
	far=$near
	near=$entry
done
alive=$(echo "$ENTRIES" | sed "s/$owner//")
seen_down () {
	for entry in $alive
	do
		grep -q "members: $owner is down" "$FLEET_DIR/$entry.log" ||
			return 1
	done
}
wait_until seen_down
# After 2 s the entries that rank first and second have tried to claim shard 0.
sleep 2
test "$(claims)" -eq "$before" || fleet_fail "shard 0 was claimed during the outage"
log_fault "kind=none"
wait_until job_ended "$near" night
wait_until job_ended "$near" once
check_accounts "$near" "$far" night 600
check_accounts "$near" "$far" once 60
test "$(job_field "$near" night done)" = 600 ||
	fleet_fail "not all items are done"
check_once

# The takeover counters of the surviving entries match their logs.
counted=0
logged=0
for entry in $alive
do
	nr=$(curl -s "$(fleet_url "$entry")/metrics" |
		sed -n 's/^briarplank_ledger_takeovers_total //p')
	counted=$((counted + nr))
	nr=$(grep -c "shard 0: owned from" "$FLEET_DIR/$entry.log")
	logged=$((logged + nr))
done
test "$counted" -ge 1 || fleet_fail "no takeover was counted"
test "$counted" -eq "$logged" ||
	fleet_fail "$counted takeovers counted, $logged logged"
