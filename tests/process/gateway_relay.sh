# An entry whose connections to the store are reset or unanswered uses the relay
# of another entry: it accepts, runs and returns jobs as before.
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

# Jobs may be refused until the entry has switched to the relay.
accepted () {
	test "$(submit "$1" "$2")" = 202
}

logged () {
	grep -q "$2" "$FLEET_DIR/$1.log"
}

# Checks that the entry switches to the relay during a fault, and back to the
# direct path after it.
# check_failover JOB VERSION
check_failover () {
	wait_until logged g2 \
		'event=store_route.*the direct path to the store is lost'
	wait_until logged g2 'event=store_route.*calls go through the relay '
	wait_until accepted g2 "$1"
	gateway_reads g2 early ||
		fleet_fail "$1: a job from before the fault can't be read"
	wait_until gateway_has_results g2 "$1" 3
	wait_until gateway_has_results g1 "$1" 3
	gateway_config "$2"
	wait_until logged g2 "event=config.*version=$2 "
	fleet_fault proxy kind=none
	wait_until logged g2 \
		'event=store_route.*the direct path to the store is restored'
	wait_until logged g2 'event=store_route.*calls go directly to the store'
	wait_until accepted g2 "$1-after"
	wait_until gateway_has_results g1 "$1-after" 3
	echo "$1: served through the relay"
}

gateway_reads () {
	test "$(gateway_status "$1" read "/lots/$2?After=0")" = 200
}

test "$(submit g1 early)" = 202 || fleet_fail "not accepted"
wait_until gateway_has_results g2 early 3

fleet_fault proxy kind=reset
check_failover reset 2

# The entry is restarted, so that its log doesn't contain the lines of the first
# case.
fleet_signal g2 KILL
GATEWAY_STORE=$link gateway_start g2
wait_until gateway_ready g2
fleet_fault proxy kind=cut
check_failover silence 3

# While the store refuses the calls of both entries, no relay helps and jobs are
# refused.
fleet_fault store "kind=reject&status=503"
sleep 1.5
test "$(submit g2 refused)" = 503 || fleet_fail "a job was not answered 503"
fleet_fault store kind=none
wait_until accepted g2 later
echo "store unavailable: refused"
