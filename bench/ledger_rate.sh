# Items a second through one shard of one entry, appends and bytes an item,
# and the time from kill -9 of the owner to the next item that ends.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
FLEET_SHARDS=1
FLEET_WAIT_MS=120000
items=${LEDGER_ITEMS:-3000}
fleet_begin
FLEET_ACCESS=$(fleet_access "desk:batch")
ledger_fleet_of () {
	fleet_platform
	fleet_standin plain-1 plain
	ENTRIES="entry-1 entry-2"
	fleet_entry entry-1 akl-a akl
	fleet_entry entry-2 akl-a akl
	for i in 1 2 3 4
	do
		fleet_agent "agent-$i" akl-a akl letters \
			"$(fleet_address plain-1)" plain
	done
	fleet_publish
	wait_until fleet_ready entry-1
	wait_until fleet_ready entry-2
	wait_until all_owned
}
ledger_fleet_of

now_ms () {
	date +%s%3N
}

counter () {
	cat_metrics=$(curl -s "$(fleet_url "$1")/metrics")
	echo "$cat_metrics" | sed -n "s/^$2 //p"
}

sum () {
	echo $(($(counter entry-1 "$1") + $(counter entry-2 "$1")))
}

job_body "$items" true "$FLEET_DIR/night"
appends=$(sum briarplank_ledger_appends_total)
bytes=$(sum briarplank_ledger_append_bytes_total)
begun=$(now_ms)
wait_until submitted entry-1 night "$FLEET_DIR/night" "service=letters&path=echo&keep=1h"
accepted=$(now_ms)
wait_until job_ended entry-1 night
ended=$(now_ms)
awk -v items="$items" -v ms=$((ended - accepted)) -v accept=$((accepted - begun)) \
	-v appends=$(($(sum briarplank_ledger_appends_total) - appends)) \
	-v bytes=$(($(sum briarplank_ledger_append_bytes_total) - bytes)) 'BEGIN {
	printf "rate items_per_s=%.0f accept_ms=%d appends_per_s=%.1f items_an_append=%.1f append_bytes_an_item=%.0f\n",
		items * 1000 / ms, accept, appends * 1000 / ms, items / appends, bytes / items
}'

# A long job, so that what goes on isn't only what may be in flight.
job_body "$((items * 10))" true "$FLEET_DIR/long"
wait_until submitted entry-2 long "$FLEET_DIR/long" "service=letters&path=echo&keep=1h"
sleep 2
owner=$(shard_owner 0)
other=entry-1
test "$owner" = entry-1 && other=entry-2
done_of () {
	job_field "$other" long done
}
fleet_signal "$owner" KILL
killed=$(now_ms)
before=$(done_of)
moved () {
	test "$(done_of)" -gt "$before"
}
wait_until moved
echo "takeover ms=$(($(now_ms) - killed))"
