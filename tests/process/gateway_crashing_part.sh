# Guards against requests with one part of a prompt that crash server after server,
# and against refusing sound requests that share their other parts.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

ROOT=5c1e07a2:200
BAD=badbad:40

# call NODE ID PATH PARTS: prints the status of a request with a prompt.
call () {
	gateway_status "$1" "$2" "$3" -d p \
		-H "X-Prompt-Prefix: $4,$(printf %s "$2" | od -An -tx1 | tr -d ' \n'):9" ||
		true
}

# sound NODE ID: a request with the first part of the others begins at once.
sound () {
	test "$(call "$1" "$2" /once/x "$ROOT,0a0a0a:50")" = 200 ||
		fleet_fail "$2: a sound request was not served"
}

gateway_pair
for i in 1 2 3 4 5 6 7 8 9 10
do
	gateway_server "server-$i" model --events 4
	wait_until gateway_knows g1 "server-$i"
	wait_until gateway_knows g2 "server-$i"
done

# Whole seconds that have passed since the quarantine when the first trial may come.
TRIAL_S=9

# allowed: sets "allowed" to how many servers may have ended: three, and one more once a
# trial is due.
allowed () {
	test -n "$quarantined_s" ||
		test "$(gateway_crashed)" -lt 3 ||
		quarantined_s=$(date +%s)
	if test -n "$quarantined_s" &&
		test $(($(date +%s) - quarantined_s)) -ge $TRIAL_S
	then
		allowed=4
	else
		allowed=3
	fi
}

# Requests arrive at both entries, no two alike, with sound ones between them.
quarantined_s=
for i in 1 2 3 4 5 6 7 8 9 10 11 12
do
	node=g$((i % 2 + 1))
	sound $node "sound-$i"
	call $node "bad-$i" /once/x "$ROOT,$BAD" >/dev/null
	allowed
	test "$(gateway_crashed)" -le $allowed ||
		fleet_fail "$(gateway_crashed) servers ended under requests with one part"
done
echo "online: three servers at most"

status=$(call g1 bad-refused /once/x "$ROOT,$BAD")
test "$status" = 503 || fleet_fail "such a request got $status instead of 503"
status=$(call g2 bad-resumed /stream/x "$ROOT,0b0b0b:7,$BAD" -H 'Last-Event-Id: 2')
test "$status" = 503 || fleet_fail "a resumed stream got $status instead of 503"
gateway_quarantined g1 "$(gateway_crashed)" ||
	fleet_fail "the operator is not shown the part"
echo "refused at both entries"

# An item with the part waits, and its job's other items are completed.
item () {
	printf '{"Id":"%s","Path":"/batch/x","Headers":{"X-Prompt-Prefix":"%s,%s:9"},"Body":"cA==","Tokens":100}' \
		"$1" "$2" "$1"
}
test "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "{\"Items\":[$(item aa "$ROOT,$BAD"),$(item bb "$ROOT")]}")" = 202 ||
	fleet_fail "the job was not accepted"
wait_until gateway_has_results g1 job-1 1
gateway_call g1 read "/lots/job-1?After=0" | grep -q '"Id":"bb","State":"completed"' ||
	fleet_fail "the sound item is not completed"
echo "batch: the sound item completed"

# An entry that starts again knows the part, also after all entries ended.
fleet_signal g1 KILL
fleet_signal g2 KILL
gateway_start g1
wait_until gateway_ready g1
wait_until grep -q 'event=server id=.* ready' "$FLEET_DIR/g1.log"
test "$(call g1 bad-restart /once/x "$ROOT,$BAD")" = 503 ||
	fleet_fail "a restarted entry sent the request on"
wait_until sound g1 sound-restart
# Two trials may have been made meanwhile.
test "$(gateway_crashed)" -le 5 || fleet_fail "$(gateway_crashed) servers ended"
echo "restarted: refused"
