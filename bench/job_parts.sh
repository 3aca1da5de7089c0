# Submits a job of 110,000 items of about 1 KB with briarplankctl; measures the
# time until it is accepted, and the memory of each entry before and at its peak.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
FLEET_SHARDS=1
FLEET_WAIT_MS=60000
items=${LEDGER_ITEMS:-110000}
fleet_begin
FLEET_ACCESS=$(fleet_access "desk:batch")
fleet_platform
ENTRIES="entry-1 entry-2"
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-a akl
fleet_publish
wait_until fleet_ready entry-1
wait_until fleet_ready entry-2
wait_until all_owned

memory () {
	sed -n "s/^$2:[^0-9]*\\([0-9]*\\) kB/\\1/p" "/proc/$(fleet_pid "$1")/status"
}

awk -v nr="$items" 'BEGIN {
	pad = sprintf("%950s", "")
	for (i = 1; i <= nr; i++)
		printf "{\"id\":\"dossier-%d\",\"body\":{\"n\":%d,\"pad\":\"%s\"}}\n", i, i, pad
}' >"$FLEET_DIR/items"
echo desk >"$FLEET_DIR/key"
# The job is submitted at the entry that does not own the shard, so that the
# memory of the owner is measured separately.
owner=$(shard_owner 0)
test "$owner" = entry-1 && taker=entry-2 || taker=entry-1
echo "rest owner_rss_kb=$(memory "$owner" VmRSS) taker_rss_kb=$(memory "$taker" VmRSS)"
submit_timed () {
	begun=$(date +%s%3N)
	"$BUILD/briarplankctl/briarplankctl" -k "$FLEET_DIR/key" -o json \
		-e "$(fleet_url "$taker")" -i "$FLEET_DIR/items" \
		submit job night service letters path echo keep 1h \
		>"$FLEET_DIR/answer" 2>&1 ||
		fleet_fail "job not accepted: $(cat "$FLEET_DIR/answer")"
	echo "$1 bytes=$(wc -c <"$FLEET_DIR/items") ms=$(($(date +%s%3N) - begun))"
}
submit_timed accepted
echo "most owner_rss_kb=$(memory "$owner" VmHWM) taker_rss_kb=$(memory "$taker" VmHWM)"
submit_timed again
