# The HTTP API for jobs: submission, resend, conflict, invalid lines, results,
# expiry, cancellation, a log outage and the operators' view.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
fleet_begin
ledger_fleet 2

query="service=claims&path=v1/completions&due=2030-01-01T00:00:00Z&keep=1h"
body=$FLEET_DIR/body
# expect NAME ACTUAL EXPECTED: fails the test unless both values are equal.
expect () {
	test "$2" = "$3" || fleet_fail "$1: got $2, expected $3: $(cat "$FLEET_DIR/answer")"
}

job_body 40 true "$body"
expect "a new job" "$(submit entry-1 night "$body" "$query")" 201
expect "a resend through the other entry" "$(submit entry-2 night "$body" "$query")" 200
expect "another due time" \
	"$(submit entry-2 night "$body" "$query&due=2031-01-01T00:00:00Z")" 409
job_body 41 true "$body.other"
expect "other content" "$(submit entry-2 night "$body.other" "$query")" 409
wait_until job_ended entry-2 night
check_accounts entry-1 entry-2 night 40

printf '{"id":"a","body":1}\n\n{"id":"b"}\n' >"$body.bad"
expect "an invalid line" "$(submit entry-1 bad "$body.bad" "$query")" 400
grep -q "line 3: body is missing" "$FLEET_DIR/answer" ||
	fleet_fail "the answer does not name the line: $(cat "$FLEET_DIR/answer")"
printf '{"id":"a","body":1}\n{"id":"a","body":2}\n' >"$body.bad"
expect "a duplicate id" "$(submit entry-1 bad "$body.bad" "$query")" 400
expect "no service" "$(submit entry-1 bad "$body" "path=x")" 400
expect "a job with invalid lines" \
	"$(call -o /dev/null -w '%{http_code}' "$(fleet_url entry-1)/v1/jobs/bad")" 404
expect "no key" "$(curl -s -o /dev/null -w '%{http_code}' \
	"$(fleet_url entry-1)/v1/jobs/night")" 401

# The bodies of items and results are passed through byte for byte.
printf '{"id":"n","body":{"b":1.10,"a":12345678901234567890123,"c":"\\u00e9"}}\n' >"$body.raw"
expect "a body of raw JSON" "$(submit entry-1 raw "$body.raw" "service=letters&path=echo&keep=1s")" 201
wait_until job_ended entry-1 raw
grep -q '"body":{"b":1.10,"a":12345678901234567890123,"c":"\\u00e9"}' \
	"$(results entry-2 raw)" || fleet_fail "the body changed: $(results entry-2 raw | xargs cat)"

# Once the keep time has passed, the job is answered with 410.
expired () {
	test "$(call -o /dev/null -w '%{http_code}' \
		"$(fleet_url entry-1)/v1/jobs/raw/results")" = 410
}
wait_until expired

# A cancellation stops a job and keeps the results so far.
job_body 3000 true "$body"
expect "a long job" "$(submit entry-1 long "$body" "$query")" 201
some_done () {
	test "$(job_field entry-1 long done)" -gt 20
}
wait_until some_done
call -X DELETE "$(fleet_url entry-2)/v1/jobs/long" >"$FLEET_DIR/answer"
grep -q '"waiting":0,"running":0' "$FLEET_DIR/answer" ||
	fleet_fail "the job was not cancelled: $(cat "$FLEET_DIR/answer")"
done_then=$(job_field entry-1 long done)
check_accounts entry-1 entry-2 long 3000
expect "done after the cancel" "$(job_field entry-2 long done)" "$done_then"

# While the log is unavailable, a submission is refused at once as not accepted.
log_fault "kind=outage"
begun=$(date +%s)
expect "during an outage" "$(submit entry-1 late "$body" "$query")" 503
grep -q "not accepted" "$FLEET_DIR/answer" ||
	fleet_fail "no \"not accepted\" in: $(cat "$FLEET_DIR/answer")"
test $(($(date +%s) - begun)) -le 4 || fleet_fail "the refusal took more than 4 s"
log_fault "kind=none"
wait_until submitted entry-1 late "$body.raw" "service=letters&path=echo"
wait_until job_ended entry-1 late

# Operators see the jobs of all entries.
curl -s -m 10 -H "Authorization: Bearer admin" -d 'show jobs' \
	"$(fleet_url entry-2)/v1/operator" >"$FLEET_DIR/answer"
for job in night long late
do
	grep -q "\"name\": *\"$job\"" "$FLEET_DIR/answer" ||
		fleet_fail "$job is not shown: $(cat "$FLEET_DIR/answer")"
done

for node in entry-1 entry-2 agent-1 agent-2 agent-3
do
	fleet_signal "$node" TERM
done
for node in entry-1 entry-2 agent-1 agent-2 agent-3
do
	fleet_wait "$node" || fleet_fail "$node ended with $?"
done
