# Guards against a gateway that reads a response without end until its memory or
# the request's time is used up, instead of closing the connection.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

OK='HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n'
# Bytes of one response that the gateway may read, with those that wait in
# socket buffers.
READ_MAX=33554432

fleet_standin raw raw
gateway_alone

# expect NAME STATUS PATH: sends a request; it must be answered within two
# seconds with this status, 000 for a broken connection.
expect () {
	status=$(gateway_status g1 "$1" "$3" -d p -m 2)
	test "$status" = "$2" || fleet_fail "$1: status $status"
	grep -q "request=$1 .*outcome=\"the time to run it is over\"" \
		"$FLEET_DIR/g1.log" && fleet_fail "$1 was held to its deadline"
	return 0
}

closed () {
	test "$(gateway_raw_count "$1" open)" = 0
}

# endless NAME SERVICE BYTES STATUS PATH: a server repeats the last line of its
# bytes until the gateway closes.
endless () {
	gateway_raw_server "$1" "$2" repeat "$3"
	wait_until gateway_knows_raw g1 "$1"
	expect "$1" "$4" "$5"
	wait_until closed "$1"
	repeated=$(gateway_raw_count "$1" repeated)
	test "$repeated" -lt "$READ_MAX" ||
		fleet_fail "$1: the server could send $repeated bytes"
	gateway_list_address "$(cat "$FLEET_DIR/$1.raw")" "$2" draining "$1"
	wait_until grep -q "event=server id=$1 .* draining" "$FLEET_DIR/g1.log"
	echo "$1: closed"
}

endless head desk "${OK}X-More: more\r\n" 502 /plain/x
endless interim desk 'HTTP/1.1 100 Continue\r\n\r\n' 502 /plain/x
endless other-request desk "${OK}X-Attempt-Id: other\r\n\r\nmore\r\n" 502 /plain/x
endless body desk "${OK}\r\nmore\r\n" 502 /plain/x
endless error-body desk "HTTP/1.1 500 Error\r\n\r\nmore\r\n" 502 /plain/x
endless refusal desk \
	"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\nmore\r\n" 503 /plain/x
endless chunk-extension desk \
	"${OK}Transfer-Encoding: chunked\r\n\r\n2;x=\tmore\t" 502 /plain/x
endless event model "${OK}\r\nid: 1\ndata: a\n\nid: 2\n" 200 /once/x
endless unnumbered-events model "${OK}\r\nid: 1\ndata: a\n\ndata: b\n\n:\n\n" \
	200 /once/x
endless unsigned model 'HTTP/1.1 200 OK\r\n\r\nmore\r\n' 502 /once/x

# An item runs at another server after such a response.
gateway_raw_server item model repeat "${OK}\r\nmore\r\n"
wait_until gateway_knows_raw g1 item
test "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 1)")" = 202 || fleet_fail "the job was not accepted"
wait_until grep -q 'item=item-1 broken off' "$FLEET_DIR/g1.log"
gateway_server server-1 model --events 30
wait_until gateway_has_results g1 job-1 1
gateway_call g1 read "/lots/job-1?After=0" | grep -q 'item-1-30' ||
	fleet_fail "the item's output is not whole"
echo "item: runs elsewhere"

# A refusal whose body never comes is a refusal all the same.
gateway_list server-1 model draining
gateway_raw_server hanging desk open \
	'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n'
wait_until gateway_knows_raw g1 hanging
expect hanging-1 503 /plain/x
for i in $(seq 2 30)
do
	gateway_status g1 "hanging-$i" /plain/x -d p -m 2 >/dev/null
done
test "$(gateway_raw_count hanging open)" -le 9 ||
	fleet_fail "$(gateway_raw_count hanging open) connections wait for a body"
echo "hanging refusal: not held"
