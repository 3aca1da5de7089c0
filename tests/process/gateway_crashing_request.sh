# Guards against a request that crashes each server that runs it and is sent to
# further servers when it comes again, under other ids and at other entries.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

# bad NODE ID PATH: prints the status of a request that crashes its server.
bad () {
	gateway_status "$1" "$2" "$3" -d crash || true
}

# sound NODE ID PATH: a sound request with the same path is served.
sound () {
	test "$(gateway_status "$1" "$2" "$3" -d sound)" = 200 ||
		fleet_fail "$2: a sound request was not served"
}

# refused NODE ID PATH: such a request is refused, not to come back at once.
refused () {
	status=$(gateway_status "$1" "$2" "$3" -d crash -D "$FLEET_DIR/head" || true)
	test "$status" = 503 || fleet_fail "$2 got $status instead of 503"
	after=$(sed -n 's/^[Rr]etry-[Aa]fter: *\([0-9]*\).*/\1/p' "$FLEET_DIR/head")
	test "${after:-0}" -ge 60 || fleet_fail "$2 may come back after ${after:-0} s"
}

# at_most COUNT WHAT: no more than this many servers have ended.
at_most () {
	test "$(gateway_crashed)" -le "$1" ||
		fleet_fail "$(gateway_crashed) servers ended under $2"
}

# reached ID: tells whether a raw server was sent a request.
reached () {
	test "$(gateway_raw_count "$1" accepted)" -ge 1
}

gateway_pair
for i in 1 2 3 4 5 6 7 8
do
	gateway_server "server-$i" desk --plain on
	wait_until gateway_knows g1 "server-$i"
	wait_until gateway_knows g2 "server-$i"
done

# The same request at both entries, with sound ones between.
for i in 1 2 3 4 5 6 7 8
do
	node=g$((i % 2 + 1))
	bad $node "bad-$i" /plain/status >/dev/null
	at_most 3 "one request"
	test $i -gt 1 || wait_until gateway_quarantined g1 3
	sound $node "sound-$i" /plain/status
done
refused g1 bad-refused-1 /plain/status
refused g2 bad-refused-2 /plain/status
echo "plain: three servers ended, refused at both entries"

# Its id and its body don't make other requests suspect.
sound g1 bad-1 /plain/status
sound g2 bad-1 /plain/other
echo "others: served"

# An entry that starts again knows the request, also after all entries ended.
fleet_signal g1 KILL
fleet_signal g2 KILL
gateway_start g1
wait_until gateway_ready g1
wait_until grep -q 'event=server id=.* ready' "$FLEET_DIR/g1.log"
refused g1 bad-restart /plain/status
sound g1 sound-restart /plain/status
at_most 5 "one request and two trials"
echo "restarted: refused"

# A stream that crashes its servers before its head.
gone=$(gateway_crashed)
for i in 11 12 13 14
do
	gateway_server "server-$i" model
	wait_until gateway_knows g1 "server-$i"
done
for i in 1 2 3 4 5
do
	bad g1 "stream-$i" /once/x >/dev/null
	at_most $((gone + 3)) "one stream"
done
refused g1 stream-refused /once/x
echo "stream: three servers ended"

# An item under which servers ended is still owed.
fleet_standin raw raw
gateway_list server-14 model draining
for i in 1 2 3
do
	gateway_raw_server "dead-$i" model reset ''
	wait_until gateway_knows_raw g1 "dead-$i"
done
test "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1)")" = 202 || fleet_fail "the job was not accepted"
for i in 1 2 3
do
	wait_until reached "dead-$i"
	gateway_put keyed.servers "dead-$i" ""
done
gateway_server server-15 model
wait_until gateway_has_results g1 job-1 1
gateway_call g1 read "/lots/job-1?After=0" | grep -q '"State":"completed"' ||
	fleet_fail "the item is not completed"
echo "batch: the item completed"
