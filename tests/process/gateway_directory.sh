# In a region with many entries only a few, the readers, read the servers and
# the configuration from the store; the others fetch every change from a reader.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

GATEWAY_READERS=2
fleet_standin store store
gateway_config 1
gateway_server server-1 model --events 10
for node in g1 g2 g3 g4 g5 g6
do
	gateway_start $node
done
for node in g1 g2 g3 g4 g5 g6
do
	wait_until gateway_ready $node
done

# Prints the nodes that fetch the directory from a reader.
followers () {
	for log in "$FLEET_DIR"/g?.log
	do
		grep 'event=directory directory follows' "$log" | tail -n 1 |
			grep -q 'follows the entry' && basename "$log" .log
	done
}

has_three_followers () {
	test "$(followers | wc -l)" -eq 3
}

all_logged () {
	for log in "$FLEET_DIR"/g?.log
	do
		grep -q "$1" "$log" || return 1
	done
}

wait_until has_three_followers
echo "six entries: three fetch from a reader"

# A new configuration, a new server, its draining and its removal reach all
# entries.
gateway_config 2
wait_until all_logged 'event=config.*version=2 '
gateway_server server-2 model --events 10
wait_until all_logged "event=server id=$(fleet_address server-2) .* ready"
gateway_list server-2 model draining
wait_until all_logged "event=server id=$(fleet_address server-2) .* draining"
gateway_put keyed.servers "$(fleet_address server-2)" ""
wait_until all_logged "event=server id=$(fleet_address server-2) unlisted"
echo "changes: reached all entries"

# The store drops the history of the servers, so that the readers read all of
# them again. The servers that did not change stay listed at all entries.
history_is_read_again () {
	gateway_list server-1 model
	curl -sf -X POST \
		"http://$(fleet_address store)/drop?Topic=keyed.servers" ||
		fleet_fail "the store did not drop its records"
	grep -q 'topic=keyed.servers records are no longer kept' \
		"$FLEET_DIR"/g?.log
}

wait_until history_is_read_again
gateway_server server-3 model --events 10
wait_until all_logged "event=server id=$(fleet_address server-3) .* ready"
grep -q "event=server id=$(fleet_address server-1) unlisted" \
	"$FLEET_DIR"/g?.log && fleet_fail "an entry lost an unchanged server"
echo "history dropped: all servers kept"

# A reader is killed: its followers choose another reader, or read the store.
follower=$(followers | head -n 1)
asked=$(sed -n 's/.*directory follows the entry at //p' "$FLEET_DIR/$follower.log" |
	tail -n 1)
for node in g1 g2 g3 g4 g5 g6
do
	port=$(sed -n 's/.*event=start.* directory=\([0-9]*\).*/\1/p' \
		"$FLEET_DIR/$node.log")
	test "127.0.0.1:$port" = "$asked" && victim=$node
done
fleet_signal "$victim" KILL
fetches_of_all () {
	grep -c 'event=directory fetches all servers' "$FLEET_DIR/$follower.log"
}

fetched=$(fetches_of_all)
gateway_config 3
fetched_again () {
	test "$(fetches_of_all)" -gt "$fetched"
}

all_but_victim () {
	for node in g1 g2 g3 g4 g5 g6
	do
		test "$node" = "$victim" ||
			grep -q 'event=config.*version=3 ' \
				"$FLEET_DIR/$node.log" || return 1
	done
}

wait_until all_but_victim
# Changes since an offset of one reader may be incomplete at another.
wait_until fetched_again
gateway_call "$follower" o1 /stream/x -d p | grep -q '^data: ' ||
	fleet_fail "an online request failed"
echo "a reader was killed: the others continue"
