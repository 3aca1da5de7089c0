# Guards against streams and items that go on at another software version than the one
# that began them: within an answer, over a caller's tries, and after a hand-over.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

# whole FILE VERSION: a text has events of this version and of no other.
whole () {
	grep -q -- "-v$2" "$1" || fleet_fail "$1 has no event of v$2: $(cat "$1")"
	test "$(grep -o -- '-v[0-9]*' "$1" | sort -u)" = "-v$2" ||
		fleet_fail "$1 has events of two versions: $(cat "$1")"
}

# begin NODE ID EVENT [BODY]: begins a stream and waits for an event, after which it is
# held unless it has another body.
begin () {
	(
		gateway_call "$1" "$2" /stream/x -N -d "${4:-hold $3}" >"$FLEET_DIR/$2"
		echo $? >"$FLEET_DIR/$2.status"
	) &
	wait_until grep -q "^data: $2-$3" "$FLEET_DIR/$2"
}

# resume NODE ID EVENT ATTEMPT: takes up the stream that an attempt began.
resume () {
	gateway_status "$1" "$2" /stream/x -d p -H "Last-Event-Id: $3" \
		-H "Resumes: $4" || true
}

# leave NAME VERSION: lists a server as draining, and waits until all entries know.
leave () {
	GATEWAY_SOFTWARE=v$2
	gateway_list "$1" model draining
	GATEWAY_SOFTWARE=
	for node in $NODES
	do
		wait_until gateway_listed "$node" "$(fleet_address "$1")" draining 1
	done
}

# known NAME...: all entries know these servers.
known () {
	for server in "$@"
	do
		for node in $NODES
		do
			wait_until gateway_knows "$node" "$server"
		done
	done
}

NODES='g1 g2 g3'
gateway_pair
gateway_start g3
wait_until gateway_ready g3
gateway_software_server server-1 1 --events 40 --event-ms 150
known server-1

# Within one answer: the only server of v1 is there to begin it, then one more comes.
begin g1 one 2 slow
for i in 2 3 4
do
	gateway_software_server "server-$i" 2 --events 30
done
gateway_software_server server-5 1 --events 40
known server-2 server-3 server-4 server-5
leave server-1 1
fleet_fault server-1 kind=kill_streams
wait_until test -s "$FLEET_DIR/one.status"
whole "$FLEET_DIR/one" 1
grep -q '^data: one-40-v1' "$FLEET_DIR/one" || fleet_fail "the stream did not go on"
echo "one answer: went on at its version"

# Over a caller's tries, at other entries, the one that began it being killed.
for i in 1 2 3 4 5 6
do
	begin g1 "try-$i" 5
done
fleet_signal g1 KILL
NODES='g2 g3'
for i in 1 2 3 4 5 6
do
	version=$(grep -o -- '-v[0-9]*' "$FLEET_DIR/try-$i" | sort -u)
	node=g$((i % 2 + 2))
	status=$(resume $node "again-$i" 5 "try-$i")
	test "$status" = 200 || fleet_fail "again-$i was not taken up: $status"
	whole "$FLEET_DIR/body" "${version#-v}"
done
echo "tries: went on at their versions"

# A stream of which no entry knows the version isn't taken up.
status=$(resume g2 unknown 5 nobody)
test "$status" = 503 || fleet_fail "an unknown stream got $status instead of 503"
echo "unknown: refused"

# A version that is gone: a clear end, at once.
leave server-5 1
for i in 2 3 4
do
	leave "server-$i" 2
done
gateway_software_server server-8 1 --events 40 --event-ms 150
known server-8
begin g2 old 2 slow
gateway_software_server server-9 2 --events 40
known server-9
leave server-8 1
fleet_fault server-8 kind=kill_streams
wait_until test -s "$FLEET_DIR/old.status"
test "$(cat "$FLEET_DIR/old.status")" -ne 0 ||
	fleet_fail "a stream whose version is gone ended as complete"
whole "$FLEET_DIR/old" 1
status=$(resume g3 old-again 2 old)
test "$status" = 503 || fleet_fail "a stream of a version that is gone got $status"
echo "gone: ended"

# An item whose entry is killed goes on at its version or starts over.
gateway_software_server server-6 1 --events 40
gateway_software_server server-7 2 --events 40
known server-6 server-7
test "$(gateway_status g2 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 4 'hold 20')")" = 202 || fleet_fail "the job was not accepted"
for i in 1 2 3 4
do
	wait_until grep -q "item=item-$i saved after_event=" "$FLEET_DIR/g2.log"
done
fleet_signal g2 KILL
for i in 6 7 9
do
	fleet_fault "server-$i" kind=kill_streams
done
wait_until gateway_has_results g3 job-1 4
for i in 1 2 3 4
do
	gateway_call g3 read "/lots/job-1?After=0" | grep -o '"Id":"item-'$i'"[^}]*' >"$FLEET_DIR/item-$i"
	grep -q completed "$FLEET_DIR/item-$i" || fleet_fail "item-$i is not completed"
	version=$(grep -o -- '-v[0-9]*' "$FLEET_DIR/item-$i" | sort -u)
	whole "$FLEET_DIR/item-$i" "${version#-v}"
done
echo "items: each of one version"

# An item whose version has only a server that can't be reached, while one of another
# version is free, starts over there.
NODES=g3
for i in 7 9
do
	leave "server-$i" 2
done
test "$(gateway_status g3 job-2 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1 'hold 20' bound)")" = 202 || fleet_fail "the job was not accepted"
wait_until grep -q "item=bound-1 saved after_event=" "$FLEET_DIR/g3.log"
fleet_signal server-6 KILL
GATEWAY_SOFTWARE=v2
gateway_list server-7 model ready
GATEWAY_SOFTWARE=
wait_until gateway_listed g3 "$(fleet_address server-7)" ready 2
wait_until gateway_has_results g3 job-2 1
gateway_call g3 read "/lots/job-2?After=0" >"$FLEET_DIR/bound"
grep -q completed "$FLEET_DIR/bound" || fleet_fail "the item is not completed"
whole "$FLEET_DIR/bound" 2
echo "unreachable: the item started over"
