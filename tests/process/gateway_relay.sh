# An entry that the store turns away, or that is cut off from it, goes on by
# another entry: its jobs are taken, run and read as before.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

fleet_standin store store
fleet_standin proxy proxy
store=$(fleet_address store)
gateway_config 1
gateway_server server-1 model --events 10
gateway_start g1
link=$(fleet_link proxy g2 "$store")
GATEWAY_STORE=$link gateway_start g2
wait_until gateway_ready g1
wait_until gateway_ready g2
wait_until gateway_knows g2 server-1

submit () {
	gateway_job 3 work "$2" >"$FLEET_DIR/job"
	gateway_status "$1" "$2" /batch/jobs --data-binary "@$FLEET_DIR/job"
}

# Refusals are true while the way is being found.
accepted () {
	test "$(submit "$1" "$2")" = 202
}

logged () {
	grep -q "$2" "$FLEET_DIR/$1.log"
}

# While another fault holds, the way by the other entry is used.
check_detour () {
	wait_until logged g2 'event=store_route.*the own way is lost'
	wait_until logged g2 'event=store_route.*calls go by '
	wait_until accepted g2 "$1"
	gateway_reads g2 early || fleet_fail "$1: an older job can't be read"
	wait_until gateway_has_results g2 "$1" 3
	wait_until gateway_has_results g1 "$1" 3
	gateway_config "$2"
	wait_until logged g2 "event=config.*version=$2 "
	fleet_fault proxy kind=none
	wait_until logged g2 'event=store_route.*the own way is back'
	wait_until logged g2 'event=store_route.*calls go to the store itself'
	wait_until accepted g2 "$1-after"
	wait_until gateway_has_results g1 "$1-after" 3
	echo "$1: served"
}

gateway_reads () {
	test "$(gateway_status "$1" read "/lots/$2?After=0")" = 200
}

test "$(submit g1 early)" = 202 || fleet_fail "not accepted"
wait_until gateway_has_results g2 early 3

fleet_fault proxy kind=reset
check_detour reset 2

# The log of the first case is not the second's.
fleet_signal g2 KILL
GATEWAY_STORE=$link gateway_start g2
wait_until gateway_ready g2
fleet_fault proxy kind=cut
check_detour silence 3

# With the store away for both, nobody can pass anything on, and jobs are
# refused.
fleet_fault store "kind=reject&status=503"
sleep 1.5
test "$(submit g2 refused)" = 503 || fleet_fail "no 503"
fleet_fault store kind=none
wait_until accepted g2 later
echo "away for all: refused"
