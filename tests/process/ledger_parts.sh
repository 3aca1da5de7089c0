# A job submitted in parts through several entries, with lost answers of the
# log, an outage and the death of the shard's owner between parts; and a large
# file submitted by briarplankctl.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
FLEET_SHARDS=1
fleet_begin
ledger_fleet 3

query="service=letters&path=echo&keep=1h"
body=$FLEET_DIR/body
# expect NAME ACTUAL EXPECTED: fails the test unless both values are equal.
expect () {
	test "$2" = "$3" || fleet_fail "$1: got $2, expected $3: $(cat "$FLEET_DIR/answer")"
}
# said PATTERN: checks that the last HTTP answer matches the pattern.
said () {
	grep -q "$1" "$FLEET_DIR/answer" ||
		fleet_fail "no \"$1\" in: $(cat "$FLEET_DIR/answer")"
}
# put ENTRY JOB PART LINE FILE: submits a part; prints the status code.
put () {
	submit "$1" "$2/parts/$3" "$5" "line=$4"
}
# seal ENTRY JOB PARTS: completes a job that was submitted in that many parts;
# prints the status code.
seal () {
	submit "$1" "$2" /dev/null "$query&parts=$3"
}
stored () {
	test "$(put "$@")" = 200
}
sealed () {
	case "$(seal "$@")" in
	200 | 201) true ;;
	*) false ;;
	esac
}

job_body 100 true "$body"
sed -n 1,30p "$body" >"$body.1"
sed -n 31,60p "$body" >"$body.2"
sed -n 61,80p "$body" >"$body.3"
sed -n 81,100p "$body" >"$body.4"

# Parts are accepted in any order and through any entry. A resend is accepted,
# other content under the same number is not.
expect "part 2" "$(put entry-2 night 2 31 "$body.2")" 200
said '"job":"night","part":2,"line":31,"lines":30,"items":30'
expect "a seal too early" "$(seal entry-3 night 4)" 409
said "part 1 of 4 is missing"
expect "part 1" "$(put entry-1 night 1 1 "$body.1")" 200
cp "$FLEET_DIR/answer" "$FLEET_DIR/first"
expect "part 1 again" "$(put entry-3 night 1 1 "$body.1")" 200
cmp "$FLEET_DIR/first" "$FLEET_DIR/answer" ||
	fleet_fail "the resend was answered differently"
expect "other content" "$(put entry-3 night 1 1 "$body.3")" 409
expect "a gap" "$(put entry-3 night 3 62 "$body.3")" 409
said "part 3 must begin at line 61, not 62"

# Line numbers refer to the whole job; an invalid part can be sent again.
cat "$body.3" - >"$body.bad" <<EOF
{"id":"a"}
EOF
expect "an invalid line" "$(put entry-2 night 3 61 "$body.bad")" 400
said "line 81: body is missing"
cat "$body.3" - >"$body.bad" <<EOF
{"id":"item-31","body":1}
EOF
expect "an id of another part" "$(put entry-2 night 3 61 "$body.bad")" 400
said "line 81: the id is also on line 31"
expect "a part 0" "$(put entry-2 night 0 1 "$body.1")" 404
expect "no line" "$(submit entry-2 night/parts/3 "$body.3" "x=1")" 400
expect "a seal with a body" "$(submit entry-2 night "$body.1" "$query&parts=4")" 400
expect "not a job yet" \
	"$(call -o /dev/null -w '%{http_code}' "$(fleet_url entry-2)/v1/jobs/night")" 404

# The log loses its answers to appends that took effect, then is unavailable.
log_fault "kind=lose_answer&count=3"
wait_until stored entry-2 night 3 61 "$body.3"
log_fault "kind=outage"
begun=$(date +%s)
expect "during an outage" "$(put entry-1 night 4 81 "$body.4")" 503
said "not accepted"
test $(($(date +%s) - begun)) -le 4 || fleet_fail "the refusal took more than 4 s"
log_fault "kind=none"

# The owner of the job's shard dies before the last part is submitted and the
# job is completed.
owner=$(shard_owner 0)
fleet_signal "$owner" KILL
near=
for entry in $ENTRIES
do
	test "$entry" != "$owner" || continue
	far=$near
	near=$entry
done
wait_until stored "$near" night 4 81 "$body.4"
expect "part 2 at another owner" "$(put "$far" night 2 31 "$body.2")" 200
expect "the seal" "$(seal "$far" night 4)" 201
expect "the seal again" "$(seal "$near" night 4)" 200
expect "another due time" \
	"$(submit "$near" night /dev/null "$query&parts=4&due=2031-01-01T00:00:00Z")" 409
expect "the same job as one body" "$(submit "$near" night "$body" "$query")" 409
expect "a sealed part" "$(put "$near" night 4 81 "$body.4")" 200
expect "a part after the seal" "$(put "$near" night 5 101 "$body.bad")" 409
said "the job is already sealed without this part"
wait_until job_ended "$near" night
check_accounts "$near" "$far" night 100
test "$(job_field "$near" night done)" = 100 ||
	fleet_fail "not all items are done"
cut -d'"' -f4 "$body" >"$FLEET_DIR/ids"
cut -d'"' -f4 "$(results "$near" night)" | cmp - "$FLEET_DIR/ids" ||
	fleet_fail "the results are not in the order of the parts"

# briarplankctl submits a file in several parts. Submitting it again succeeds;
# submitting it with one line changed fails.
awk 'BEGIN {
	pad = sprintf("%1000s", "")
	for (i = 1; i <= 6000; i++)
		printf "{\"id\":\"i%d\",\"body\":{\"n\":%d,\"pad\":\"%s\"}}\n", i, i, pad
}' >"$body.large"
echo admin >"$FLEET_DIR/key"
ctl_submit () {
	"$BUILD/briarplankctl/briarplankctl" -k "$FLEET_DIR/key" -o json \
		-e "$(fleet_url "$near"),$(fleet_url "$far")" -i "$1" \
		submit job large service letters path echo keep 1h \
		>"$FLEET_DIR/answer" 2>&1
}
ctl_submit "$body.large" || fleet_fail "ctl: $(cat "$FLEET_DIR/answer")"
said '"name": *"large"'
said '"items": *6000'
ctl_submit "$body.large" || fleet_fail "ctl again: $(cat "$FLEET_DIR/answer")"
said '"items": *6000'
sed 's/"n":5999/"n":0/' "$body.large" >"$body.changed"
ctl_submit "$body.changed" && fleet_fail "other content was accepted"
said "the job is already sealed without this part"
curl -s -m 10 -H "Authorization: Bearer admin" -X DELETE \
	"$(fleet_url "$far")/v1/jobs/large" >"$FLEET_DIR/answer"
said '"waiting":0,"running":0'
