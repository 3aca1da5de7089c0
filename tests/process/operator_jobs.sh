# Operators submit, list and cancel jobs. A list that covers all shards is
# complete; one that doesn't is reported as partial.
. tests/fleet/fleet.sh
. tests/process/operator.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator bob:ops:operator depot:online")
fleet_platform
fleet_standin engine-1 engine --base-gap-us 20000
fleet_entry entry-1 akl-a akl
fleet_entry entry-2 akl-b akl
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_publish
for node in entry-1 entry-2 agent-1
do
	wait_until fleet_ready "$node"
done

# Tells whether all shards have an owner that answers.
all_shards_covered () {
	curl -s -H "Authorization: Bearer ann" -d "show jobs" \
		"$(fleet_url entry-1)/v1/operator" |
		grep -q '"shards_missing":\[\]'
}
wait_until all_shards_covered

i=0
while test $i -lt 40
do
	i=$((i + 1))
	echo "{\"id\":\"claim-$i\",\"body\":{\"prompt\":\"x\",\"max_tokens\":400},\"idempotent\":true}"
done >"$FLEET_DIR/items"

# Submitting the same job again, also at the other entry, creates no new one.
ctl 0 entry-1 ann -i "$FLEET_DIR/items" submit job night-1 \
	service claim-desk path v1/completions keep 1h
said 'the job is accepted'
ctl 0 entry-2 ann -i "$FLEET_DIR/items" submit job night-1 \
	service claim-desk path v1/completions keep 1h
said 'was accepted before'
ctl 1 entry-1 ann -i "$FLEET_DIR/items" submit job night-1 \
	service claim-desk path v1/other keep 1h
said 'exists with other content'
ctl 2 entry-1 ann submit job night-2 service claim-desk path v1/x
said 'needs items'
ctl 0 entry-2 bob show jobs where name = night-1
said '1 rows'
id=$(sed -n 's/^\([0-9a-f]\{32\}\) .*/\1/p' "$FLEET_DIR/out")

# Another operator cancels by id. Cancelling a cancelled job succeeds.
ctl 1 entry-2 bob cancel job night-1
said 'no job night-1'
ctl 0 entry-2 bob cancel job "$id"
said 'the job is cancelled'
ctl 0 entry-1 ann show jobs where name = night-1 and state = cancelled
said '1 rows'
ctl 0 entry-1 ann cancel job ann/night-1

# The shards of a killed entry are missing until the other takes them over.
fleet_signal entry-2 KILL
list_is_complete () {
	"$BUILD/briarplankctl/briarplankctl" -e "$(fleet_url entry-1)" \
		-k "$FLEET_DIR/ann.key" show jobs >"$FLEET_DIR/out" 2>&1 </dev/null
}
wait_until list_is_complete
said 'night-1'
echo "jobs are submitted once, cancelled by id, and listed from all shards"
