# Guards against a response that broke off before its first event being taken
# for a complete stream, or for the end of the stream that it resumes.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

HEAD='HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Signature: s\r\n\r\n'

fleet_standin raw raw
gateway_alone
gateway_raw_server cut model close "$HEAD"
wait_until gateway_knows_raw g1 cut

# A stream without any event is broken off.
status=0
gateway_call g1 o1 /once/x -N -d p >"$FLEET_DIR/o1" || status=$?
test "$status" -ne 0 || fleet_fail "an empty stream ended without an error"
echo "first run: broken off"

# A stream that was resumed there is broken off too.
gateway_server server-1 model --events 30
gateway_list_address "$(cat "$FLEET_DIR/cut.raw")" model draining cut
wait_until gateway_knows g1 server-1
wait_until gateway_listed g1 cut draining 1
(
	gateway_call g1 r1 /stream/x -N -d 'hold 5' >"$FLEET_DIR/r1"
	echo $? >"$FLEET_DIR/r1.status"
) &
caller=$!
wait_until grep -q '^data: r1-5' "$FLEET_DIR/r1"
gateway_list server-1 model draining
gateway_list_address "$(cat "$FLEET_DIR/cut.raw")" model ready cut
wait_until gateway_listed g1 "$(fleet_address server-1)" draining 1
wait_until gateway_listed g1 cut ready 2
fleet_fault server-1 kind=kill_streams
wait $caller
test "$(cat "$FLEET_DIR/r1.status")" -ne 0 ||
	fleet_fail "a resumed stream ended without an error after 5 of 30 events"
echo "resumed: broken off"

# A batch item that was resumed there is continued until it is whole.
gateway_list_address "$(cat "$FLEET_DIR/cut.raw")" model draining cut
gateway_list server-1 model ready
wait_until gateway_listed g1 "$(fleet_address server-1)" ready 2
wait_until gateway_listed g1 cut draining 2
test "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1 'hold 5')")" = 202 ||
	fleet_fail "the job was not accepted"
wait_until grep -q 'item=item-1 server=.* after_event=-1' "$FLEET_DIR/g1.log"
wait_until gateway_holds server-1 item-1
gateway_list server-1 model draining
gateway_list_address "$(cat "$FLEET_DIR/cut.raw")" model ready cut
wait_until gateway_listed g1 "$(fleet_address server-1)" draining 2
wait_until gateway_listed g1 cut ready 3
fleet_fault server-1 kind=kill_streams
# Two responses in a row have no event: the second one makes the item start over.
wait_until grep -q 'item=item-1 .* starts over' "$FLEET_DIR/g1.log"
gateway_list server-1 model ready
wait_until gateway_has_results g1 job-1 1
gateway_call g1 read "/lots/job-1?After=0" >"$FLEET_DIR/results"
grep -q '"completed"' "$FLEET_DIR/results" ||
	fleet_fail "the item is not completed"
seq 1 30 | sed 's/^/item-1-/' | paste -s -d: | sed 's/:/\\n/g' >"$FLEET_DIR/expected"
grep -qF "$(cat "$FLEET_DIR/expected")" "$FLEET_DIR/results" ||
	fleet_fail "the output is not whole: $(cat "$FLEET_DIR/results")"
echo "batch: whole"
