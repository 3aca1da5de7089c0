# Guards against a server that gets more requests from all entries together than the
# limit that it names in its answers.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

LIMIT=3

# runs NAME: prints the number of requests that a server has run.
runs () {
	curl -s "http://$(fleet_address "$1")/runs" | grep -o ': *[0-9]*' |
		tr -d ': ' | awk '{ sum += $1 } END { print sum + 0 }'
}

# Sends requests to both entries until the file "done" exists, about 20 a second.
load () {
	i=0
	while test -d "$FLEET_DIR" && ! test -e "$FLEET_DIR/done"
	do
		i=$((i + 1))
		echo "$i" >>"$FLEET_DIR/begun"
		echo "$i $(gateway_status "g$((i % 2 + 1))" "o$i" /once/x -d p)" \
			>>"$FLEET_DIR/statuses" &
		sleep 0.04
	done
	wait
}

gateway_pair
gateway_server server-1 model --events 2 --limit $LIMIT
wait_until gateway_knows g1 server-1
wait_until gateway_knows g2 server-1

# window: counts the requests that server-1 runs in a period of the rule, which must
# be at most one and a half times the limit and five.
window () {
	before=$(runs server-1)
	sleep 4
	sent=$(($(runs server-1) - before))
	test "$sent" -le $((LIMIT * 6 + 5)) ||
		fleet_fail "$sent requests in 4 s at a limit of $LIMIT a second"
}

# The server is the only one, so that all other requests must be refused.
load >"$FLEET_DIR/load.out" 2>&1 &
FLEET_PIDS="$FLEET_PIDS $!"
wait_until grep -q 'names a limit' "$FLEET_DIR/g1.log"
wait_until grep -q 'names a limit' "$FLEET_DIR/g2.log"
for i in 1 2 3
do
	window
	test "$sent" -ge $((LIMIT * 2)) ||
		fleet_fail "only $sent requests in 4 s at a limit of $LIMIT a second"
done
echo "alone: within the limit"

# Another server without a limit takes the rest.
gateway_server server-2 model --events 2
wait_until gateway_knows g1 server-2
wait_until gateway_knows g2 server-2
# Requests that were begun before may have been refused rightly.
before_both=$(tail -n 1 "$FLEET_DIR/begun")
window
refused=$(awk -v nr="$before_both" '$1 > nr && $2 == 503' "$FLEET_DIR/statuses" | wc -l)
test "$refused" -le 3 || fleet_fail "$refused requests refused beside a free server"
touch "$FLEET_DIR/done"
echo "beside another: the rest served there"
