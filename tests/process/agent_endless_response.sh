# Guards against an agent that reads a batch response without end, and against
# the first part of a response that is too long being listed as the result.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "desk:batch admin:ops:operator")
fleet_platform
fleet_standin raw raw
fleet_entry entry-1 akl-a akl
peer=$(fleet_raw_peer repeat 'HTTP/1.1 200 OK\r\n\r\nmore\r\n')
fleet_agent agent-1 akl-a akl letters "$peer" plain
fleet_publish
ENTRIES=entry-1
wait_until fleet_ready entry-1
wait_until all_owned

job_body 1 false "$FLEET_DIR/body"
test "$(submit entry-1 night "$FLEET_DIR/body" \
	"service=letters&path=echo&due=2030-01-01T00:00:00Z&keep=1h")" = 201 ||
	fleet_fail "the job was not accepted"
wait_until job_ended entry-1 night
grep -q '"status":"outcome_unknown"' "$(results entry-1 night)" ||
	fleet_fail "not listed as unknown: $(cat "$FLEET_DIR/entry-1-night.results")"
no_connection () {
	curl -sf "http://$(fleet_address raw)/peer?address=$peer" |
		grep -q 'open=0 '
}
wait_until no_connection
echo "endless: closed, outcome unknown"
