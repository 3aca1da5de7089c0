# Guards against requests to a server that has said in a response that it leaves,
# while the store still lists it as ready.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

LEAVING='Server-Leaving: 1\r\nX-Server-Signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok'

fleet_standin raw raw
gateway_alone

# relist ID SERVICE: writes the server's record as ready once more, as after a
# removal that the store carried out on its own, and waits for the gateway.
relist () {
	gateway_put keyed.servers "$1" ""
	wait_until grep -q "event=server id=$1 unlisted" "$FLEET_DIR/g1.log"
	gateway_list_address "$(cat "$FLEET_DIR/$1.raw")" "$2" ready "$1"
	wait_until gateway_listed g1 "$1" ready 2
}

# leaving ID SERVICE PATH STATUS FIRST LINE: a response that the server leaves is
# passed on, and the server gets no other request in the same lifetime.
leaving () {
	gateway_raw_server "$1" "$2" close "$5\r\n$LEAVING"
	wait_until gateway_knows_raw g1 "$1"
	test "$(gateway_status g1 "$1-1" "$3" -d p)" = "$4" ||
		fleet_fail "$1: the first response did not arrive"
	accepted=$(gateway_raw_count "$1" accepted)
	test "$accepted" -ge 1 || fleet_fail "$1: the server got no request"
	test "$(gateway_status g1 "$1-2" "$3" -d p)" = 503 ||
		fleet_fail "$1: no 503 while the only server leaves"
	relist "$1" "$2"
	test "$(gateway_status g1 "$1-3" "$3" -d p)" = 503 ||
		fleet_fail "$1: no 503 after the server was listed again"
	test "$(gateway_raw_count "$1" accepted)" = "$accepted" ||
		fleet_fail "$1: a leaving server got another request"
	echo "$1: no further request"
}

leaving plain desk /plain/x 200 'HTTP/1.1 200 OK'
leaving refusal desk /plain/x 503 'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1'
leaving failure model /once/x 500 'HTTP/1.1 500 Error'

# Under the same id, the next lifetime of the server gets requests again.
GATEWAY_BORN=2 gateway_list_address "$(cat "$FLEET_DIR/plain.raw")" desk ready plain
wait_until gateway_listed g1 plain ready 3
test "$(gateway_status g1 plain-4 /plain/x -d p)" = 200 ||
	fleet_fail "the restarted server got no request"
echo "restarted: served"
