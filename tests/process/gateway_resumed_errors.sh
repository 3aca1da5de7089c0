# Guards against bytes of an error in the middle of a stream, or a stream that ends as if it
# were complete: a stream breaks off, and the next server answers with an error or with
# something else than events.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

SIGNED='X-Server-Signature: s\r\n'
FIRST='id: 1\ndata: a\n\nid: 2\ndata: b\n\n'

fleet_standin raw raw
gateway_alone

# then_error NAME BYTES [CUT]: the stream that the server NAME-1 breaks off, inside of an
# event, is resumed at a server that answers with the bytes. The caller gets the first
# events, and no proper end.
then_error () {
	gateway_raw_server "$1-1" model close \
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n$SIGNED\r\n$FIRST${3:-id: 3\ndata: c}"
	wait_until gateway_knows_raw g1 "$1-1"
	# The gateway prefers the server of its own data centre.
	GATEWAY_ZONE=dc2 gateway_raw_server "$1-2" model close "$2"
	wait_until gateway_knows_raw g1 "$1-2"
	status=0
	gateway_call g1 "$1" "/stream/$1" -N -d "$1" -m 5 >"$FLEET_DIR/$1" || status=$?
	for n in 1 2
	do
		test "$(gateway_raw_count "$1-$n" accepted)" -ge 1 ||
			fleet_fail "$1: server $n was not asked"
		gateway_list_address "$(cat "$FLEET_DIR/$1-$n.raw")" model draining "$1-$n"
		wait_until grep -q "event=server id=$1-$n .* draining" "$FLEET_DIR/g1.log"
	done
	printf '%b' "$FIRST" | cmp - "$FLEET_DIR/$1" ||
		fleet_fail "$1: the caller got other bytes than the two events"
	test "$status" -ne 0 || fleet_fail "$1: the stream ended as if it were complete"
	echo "$1: broken off"
}

then_error refused "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nerror"
then_error busy "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nerror"
then_error failed "HTTP/1.1 500 Error\r\n${SIGNED}Content-Length: 7\r\n\r\nerror\n\n"
then_error failed-chunks "HTTP/1.1 500 Error\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n7\r\nerror\n\n\r\n0\r\n\r\n"
then_error failed-close "HTTP/1.1 500 Error\r\n$SIGNED\r\nid: 3\ndata: error\n\n"
then_error missing "HTTP/1.1 404 Not Found\r\n${SIGNED}Content-Length: 5\r\n\r\nerror"
then_error no-content "HTTP/1.1 204 No Content\r\n$SIGNED\r\n"
then_error status-0 "HTTP/1.1 000 \r\n${SIGNED}Content-Length: 16\r\n\r\nid: 3\ndata: c\n\n"
then_error no-answer "error\n\n"
then_error unsigned "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: c\n\n"
then_error empty "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n$SIGNED\r\n"
then_error text-line "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n$SIGNED\r\nerror"
then_error text-lines "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n$SIGNED\r\nerror\n\nmore of it\n\n"
then_error text-length "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n${SIGNED}Content-Length: 7\r\n\r\nerror\n\n"
then_error no-events "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${SIGNED}Content-Length: 0\r\n\r\n"
then_error data-first "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${SIGNED}Content-Length: 0\r\n\r\n" \
	'data: c'

# An item whose output so far was resumed at such a server goes on elsewhere.
gateway_raw_server item-1 model close \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n$SIGNED\r\nid: 1\ndata: item-1-1\n\nid: 2\nda"
wait_until gateway_knows_raw g1 item-1
expect "job" "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1)")" 202
wait_until grep -q 'item=item-1 broken off .*last_event=1' "$FLEET_DIR/g1.log"
gateway_list_address "$(cat "$FLEET_DIR/item-1.raw")" model draining item-1
gateway_raw_server item-2 model close \
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n${SIGNED}Content-Length: 7\r\n\r\nerror\n\n"
wait_until grep -q 'item=item-1 server=item-2' "$FLEET_DIR/g1.log"
gateway_list_address "$(cat "$FLEET_DIR/item-2.raw")" model draining item-2
gateway_server server-1 model --events 5
wait_until gateway_has_results g1 job-1 1
gateway_call g1 read "/lots/job-1?After=0" |
	grep -q '"item-1-1\\nitem-1-2\\nitem-1-3\\nitem-1-4\\nitem-1-5"' ||
	fleet_fail "the item's output is not whole"
echo "item: runs elsewhere"
