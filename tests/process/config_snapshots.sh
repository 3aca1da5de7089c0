# The log has dropped the first records of the configuration, and all nodes are
# lost. A new node must load the whole configuration from a snapshot.
. tests/fleet/fleet.sh
fleet_begin

FLEET_PLATFORM_SETTINGS='"log_retention_ms": 14000'
FLEET_ACCESS=$(fleet_access "ann:ops:operator")
fleet_platform --retention-ms 14000
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-a akl
fleet_publish
wait_until fleet_ready entry-1
wait_until fleet_ready entry-2

command () {
	curl -s -m 15 -H "Authorization: Bearer ann" -d "$2" \
		"$(fleet_url "$1")/v1/operator"
}

# set_key KEY VALUE: sets a configuration key.
set_key () {
	command entry-1 "set $1 $2" >"$FLEET_DIR/answer"
	grep -q '"status":"done"' "$FLEET_DIR/answer" ||
		fleet_fail "$1 was not set: $(cat "$FLEET_DIR/answer")"
}

revision () {
	curl -s -m 2 "$(fleet_url "$1")/metrics" |
		sed -n 's/^briarplank_config_revision \([0-9]*\)$/\1/p'
}

set_key config.snapshot_interval_s 10
for i in 1 2 3 4 5 6 7 8
do
	set_key "service.desk-$i.timeout_ms" "$((1000 * i))"
done
command entry-1 'unset service.desk-8.timeout_ms' >"$FLEET_DIR/answer"
last=$(revision entry-1)

# Tells whether the log has dropped all records up to the last change. A page
# begins with field 1, the first offset, as a varint.
all_dropped () {
	first=$(curl -s -m 5 \
		"http://$FLEET_LOG/v1/streams/config/records?from=1" |
		od -An -tu1 -N2 | awk '$1 == 8 { print $2 }')
	test "${first:-0}" -gt "$last"
}
wait_until all_dropped
test "$(revision entry-2)" = "$last" || fleet_fail "the revision changed"

# All nodes are killed, so only the log is left.
for entry in entry-1 entry-2
do
	command "$entry" 'show config' >"$FLEET_DIR/config.$entry"
	fleet_signal $entry KILL
done
fleet_standin vms-empty vms
FLEET_VMS=$(fleet_address vms-empty)
fleet_entry entry-3 akl-a akl
wait_until fleet_ready entry-3
test "$(revision entry-3)" = "$last" ||
	fleet_fail "revision $(revision entry-3) instead of $last"
command entry-3 'show config' >"$FLEET_DIR/config.entry-3"
for i in 1 2 3 4 5 6 7
do
	grep -q "service.desk-$i.timeout_ms" "$FLEET_DIR/config.entry-3" ||
		fleet_fail "desk-$i is lost: $(cat "$FLEET_DIR/config.entry-3")"
done
echo "revision $last was loaded completely from a snapshot"
