# A call with an idempotency key runs at most once across entries, and is
# refused as not run while the log is unavailable. A refused call releases its
# key.
. tests/fleet/fleet.sh
fleet_begin

FLEET_LEVEL=debug
fleet_platform
fleet_standin plain plain
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-b akl
fleet_agent agent-1 akl-a akl plain "$(fleet_address plain)" plain
fleet_publish
wait_until fleet_ready entry-1
wait_until fleet_ready entry-2

# call ENTRY KEY BODY PATH: sends a request with an idempotency key; prints its
# status and outcome.
call () {
	curl -s -o /dev/null -D "$FLEET_DIR/head" -d "$3" \
		-H "Briarplank-Idempotent: false" -H "Idempotency-Key: $2" \
		"$(fleet_url "$1")/v1/services/plain/count/$4"
	tr -d '\r' <"$FLEET_DIR/head" | awk '
		/^HTTP/ { code = $2 }
		tolower($1) == "briarplank-outcome:" { outcome = $2 }
		END { print code, outcome }'
}

runs_of () {
	curl -s "http://$(fleet_address plain)/runs" |
		grep -o "\"$1\": *[0-9]*" | tr -dc '0-9\n' |
		awk '{ sum += $1 } END { print sum + 0 }'
}

expect () {
	test "$2" = "$3" || fleet_fail "$1: expected $2, got $3"
	echo "$1: $3"
}

# At the start both entries may claim the same shard before they know each
# other. Waits until each entry serves eight keys in a row, which fall on all
# shards. Each try uses new keys.
try=0
all_shards_served () {
	for each in 1 2 3 4 5 6 7 8
	do
		try=$((try + 1))
		test "$(call entry-1 "try-$try" x warm)" = "200 completed" &&
			test "$(call entry-2 "again-$try" x warm)" = \
				"200 completed" || return 1
	done
}
wait_until all_shards_served

expect "first call" "200 completed" "$(call entry-1 k1 x one)"
expect "resent through the other entry" "409 unknown" "$(call entry-2 k1 x one)"
expect "resent through the same entry" "409 unknown" "$(call entry-1 k1 x one)"
expect "runs" 1 "$(runs_of one)"
expect "other content" "422 not_run" "$(call entry-2 k1 y one)"
expect "runs" 1 "$(runs_of one)"

# Sends each of 20 keys to both entries at the same time: each runs once.
key=0
while test $key -lt 20
do
	key=$((key + 1))
	call entry-1 "both-$key" x "both" >/dev/null &
	first=$!
	curl -s -o /dev/null -d x -H "Briarplank-Idempotent: false" \
		-H "Idempotency-Key: both-$key" \
		"$(fleet_url entry-2)/v1/services/plain/count/both"
	wait $first
done
expect "runs of 20 keys sent to both entries" 20 "$(runs_of both)"

# A refused call has not run, so its key may be used again, at any entry.
fleet_signal agent-1 TERM
fleet_wait agent-1 || fleet_fail "agent-1 ended with $?"
expect "no server" "503 not_run" "$(call entry-1 k3 x three)"
fleet_start_node agent-1
fleet_row agent-1 agent akl-a akl plain
fleet_publish
serves_again () {
	test "$(call entry-2 k3 x three)" = "200 completed"
}
wait_until serves_again
expect "the same key once more" "409 unknown" "$(call entry-1 k3 x three)"
expect "runs" 1 "$(runs_of three)"

curl -s -X POST "http://$FLEET_LOG/fault?kind=outage" >/dev/null
expect "log unavailable" "503 not_run" "$(call entry-1 k2 x no-log)"
expect "runs" 0 "$(runs_of no-log)"
