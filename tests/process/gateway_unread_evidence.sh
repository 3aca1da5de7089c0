# Guards against entries that start while the evidence in the store can't be read, and after
# two seconds send on requests that are known to crash servers.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

ROOT=5c1e07a2:200
BAD=badbad:40

# call ID PATH BODY [PARTS]: prints the status of a request.
call () {
	gateway_status g1 "$1" "$2" -d "$3" ${4:+-H "X-Prompt-Prefix: $4,$RANDOM_PART:9"} ||
		true
}

# not_sent: neither the part nor the request is sent on.
not_sent () {
	expect "$1 part" "$(call "part-$1" /once/x "$1" "$ROOT,$BAD")" 503
	expect "$1 request" "$(call "request-$1" /plain/x crash)" 503
	expect "$1 ended" "$(gateway_crashed)" 6
}

RANDOM_PART=0c0c0c
gateway_alone
for i in 1 2 3
do
	gateway_server "server-$i" model
	wait_until gateway_knows g1 "server-$i"
	call "part-$i" /once/x "$i" "$ROOT,$BAD" >/dev/null
	gateway_server "server-1$i" desk --plain on
	wait_until gateway_knows g1 "server-1$i"
	call "request-$i" /plain/x crash >/dev/null
done
wait_until gateway_quarantined g1 3
gateway_server server-4 model
gateway_server server-14 desk --plain on
wait_until gateway_knows g1 server-4
wait_until gateway_knows g1 server-14
not_sent quarantined
sleep 0.5

gateway_hold keyed.evidence 1
fleet_signal g1 KILL
gateway_start g1
wait_until gateway_knows g1 server-4
for second in 1 2 3 4
do
	not_sent "second-$second"
	sleep 1
done
gateway_hold keyed.evidence 0
wait_until grep -q 'event=quarantine evidence read' "$FLEET_DIR/g1.log"
not_sent read
wait_until test "$(call sound /once/x sound 0a0a0a:50)" = 200
echo "nothing is sent on before the evidence was read"
