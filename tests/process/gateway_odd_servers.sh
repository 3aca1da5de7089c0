# Guards against entries of another writer among those of the servers that end the gateway,
# keep it from reading on, or cost requests their offers, though a sound server is listed.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

# entry KEY ADDRESS CAPACITY: writes an entry of the plain service.
entry () {
	gateway_put keyed.servers "$1" "{\"Service\":\"desk\",\"Address\":\"$2\",\"Zone\":\"dc1\",\"Version\":\"v1\",\"Capacity\":$3,\"State\":\"ready\",\"WarmupMs\":0,\"Sequence\":1}"
}

gateway_alone
for port in 0 65536 99999 18446744073709551617 -1 1e5
do
	entry "port$port" "127.0.0.1:$port" 8
done
entry none "127.0.0.1" 8
for capacity in -5 0 1e400 -1e400 18446744073709551616
do
	entry "capacity$capacity" "127.0.0.1:1" "$capacity"
done
deep=$(head -c 20000 /dev/zero | tr '\0' '[')
gateway_put keyed.servers deep "{\"Service\":$deep"
gateway_put keyed.servers half '{"Service":"desk","Address":'
gateway_put keyed.servers list '[1,2]'
gateway_server server-1 desk --plain on --event-ms 5
wait_until gateway_knows g1 server-1

for i in $(seq 1 20)
do
	status=$(gateway_status g1 "p$i" /plain/x -d p)
	test "$status" = 200 || fleet_fail "request $i got $status"
done
echo "requests: served"
expect "malformed entries" "$(grep -c 'event=server id=.* malformed record' "$FLEET_DIR/g1.log")" 15
expect "servers in use" "$(grep -c 'event=server id=.* ready' "$FLEET_DIR/g1.log")" 1
fleet_runs g1 || fleet_fail "the process has ended"

# What comes later is read.
gateway_put keyed.servers port0 ""
gateway_server server-2 desk --plain on --event-ms 5
wait_until gateway_knows g1 server-2
echo "later entries: read"
