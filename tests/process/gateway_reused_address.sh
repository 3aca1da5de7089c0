# Guards against taking the refusal of another server, which has got the address of one
# that crashed, as a sign of life of the crashed one: it cleared the part of a prompt under
# which it had crashed, and further servers were sent that part.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

ROOT=5c1e07a2:200
BAD=badbad:40

# call ID PARTS: prints the status of a request with a prompt.
call () {
	gateway_status g1 "$1" /once/x -d "$1" -H "X-Prompt-Prefix: $2,$i:9" || true
}

refused_by_other () {
	call "other-$i-$1" 0a0a0a:50 >/dev/null
	test "$(grep -c 'status=421' "$FLEET_DIR/g1.log")" -ge "$i"
}

gateway_alone
fleet_standin other worker
for i in 1 2 3
do
	gateway_server "server-$i" model
	wait_until gateway_knows g1 "server-$i"
	call "bad-$i" "$ROOT,$BAD" >/dev/null
	test "$(gateway_crashed)" = "$i" || fleet_fail "server $i did not end"

	# The other server has the address before the list says so.
	gone=$(fleet_address "server-$i")
	gateway_list other model ready "$gone"
	wait_until grep -q "event=server id=$gone .*address=$(fleet_address other)" \
		"$FLEET_DIR/g1.log"
	wait_until refused_by_other "$(date +%N)"
	gateway_put keyed.servers "$gone" ""
	wait_until grep -q "event=server id=$gone unlisted" "$FLEET_DIR/g1.log"
done
gateway_server server-4 model
wait_until gateway_knows g1 server-4
i=4
status=$(call bad-4 "$ROOT,$BAD")
test "$status" = 503 || fleet_fail "a fourth request with the part got $status"
expect ended "$(gateway_crashed)" 3
echo "three servers ended, and another one answered for each"
