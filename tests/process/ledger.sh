# Helpers of the tests of the job ledger. Sourced after tests/fleet/fleet.sh.

# ledger_fleet ENTRIES: starts that many entries, with three agents for two
# engines and a plain server.
ledger_fleet () {
	FLEET_ACCESS=$(fleet_access "desk:batch depot:online admin:ops:operator")
	# shellcheck disable=SC2086
	fleet_platform $LEDGER_LOG_OPTIONS
	fleet_standin engine-1 engine --base-gap-us 2000
	fleet_standin engine-2 engine --base-gap-us 2000
	fleet_standin plain-1 plain
	ENTRIES=
	i=1
	while test $i -le "$1"
	do
		fleet_entry "entry-$i" akl-a akl
		ENTRIES="$ENTRIES entry-$i"
		i=$((i + 1))
	done
	fleet_agent agent-1 akl-a akl claims "$(fleet_address engine-1)"
	fleet_agent agent-2 akl-a akl claims "$(fleet_address engine-2)"
	fleet_agent agent-3 akl-a akl letters "$(fleet_address plain-1)" plain
	fleet_publish
	for entry in $ENTRIES
	do
		wait_until fleet_ready "$entry"
	done
	wait_until all_owned
}

# Tells whether all shards are owned by the entries.
all_owned () {
	owned=0
	for entry in $ENTRIES
	do
		nr=$(curl -s -m 2 "$(fleet_url "$entry")/metrics" |
			sed -n 's/^briarplank_ledger_shards_owned //p')
		owned=$((owned + ${nr:-0}))
	done
	test "$owned" -ge "${FLEET_SHARDS:-4}"
}

# call ARGS: runs curl as the caller "desk".
call () {
	curl -s -m 30 -H "Authorization: Bearer desk" "$@"
}

# job_body NR IDEMPOTENT FILE: writes NR items with a prompt.
job_body () {
	awk -v nr="$1" -v idempotent="$2" 'BEGIN {
		for (i = 1; i <= nr; i++)
			printf "{\"id\":\"item-%d\",\"body\":{\"prompt\":\"claim %d\",\"max_tokens\":1},\"idempotent\":%s}\n", i, i, idempotent
	}' >"$3"
}

# submit ENTRY JOB FILE QUERY: submits a job; prints the status code.
submit () {
	call -o "$FLEET_DIR/answer" -w '%{http_code}' -X PUT \
		--data-binary "@$3" "$(fleet_url "$1")/v1/jobs/$2?$4"
}

submitted () {
	case "$(submit "$@")" in
	200 | 201) true ;;
	*) false ;;
	esac
}

# job_field ENTRY JOB FIELD: prints a numeric field of the job's state.
job_field () {
	call "$(fleet_url "$1")/v1/jobs/$2" |
		sed -n "s/.*\"$3\":\\([0-9]*\\).*/\\1/p"
}

job_ended () {
	call "$(fleet_url "$1")/v1/jobs/$2" |
		grep -q '"waiting":0,"running":0,'
}

# shard_owner SHARD: prints the shard's latest owner according to the logs.
shard_owner () {
	grep -H "shard $1: owned from" "$FLEET_DIR"/entry-*.log |
		sed 's/.*\/\(entry-[0-9]*\)\.log:[^0-9]*\([^ ]*\) .*/\2 \1/' |
		sort | tail -n 1 | cut -d' ' -f2
}

# results ENTRY JOB: writes the job's results to a file and prints its name.
results () {
	call "$(fleet_url "$1")/v1/jobs/$2/results" >"$FLEET_DIR/$1-$2.results"
	echo "$FLEET_DIR/$1-$2.results"
}

# check_accounts ENTRY OTHER JOB ITEMS: checks that each item has one result,
# that both entries return the same results, and that the job's counts match.
check_accounts () {
	one=$(results "$1" "$3")
	two=$(results "$2" "$3")
	cmp "$one" "$two" || fleet_fail "$3: the results of $1 and $2 differ"
	test "$(wc -l <"$one")" -eq "$4" ||
		fleet_fail "$3: $(wc -l <"$one") results, not $4"
	test "$(cut -d'"' -f4 "$one" | sort -u | wc -l)" -eq "$4" ||
		fleet_fail "$3: an id has two results"
	for state in done failed cancelled outcome_unknown
	do
		test "$(grep -c "\"status\":\"$state\"" "$one")" -eq \
			"$(job_field "$1" "$3" $state)" ||
			fleet_fail "$3: the count of $state is wrong"
	done
	echo "$3: $(job_field "$1" "$3" done) done, $(job_field "$1" "$3" failed) failed, $(job_field "$1" "$3" outcome_unknown) outcome_unknown of $4"
}

# Checks that the plain server has run items, and none of them twice.
check_once () {
	curl -s "http://$(fleet_address plain-1)/runs" |
		sed 's/"work": *[0-9]*//' >"$FLEET_DIR/runs"
	grep -q "claim 1" "$FLEET_DIR/runs" || fleet_fail "no run was counted"
	if grep -qE '"?: ?([2-9]|1[0-9])' "$FLEET_DIR/runs"
	then
		fleet_fail "an item ran twice: $(cut -c 1-400 "$FLEET_DIR/runs")"
	fi
}

# log_fault QUERY: injects a fault into the server that simulates the log.
log_fault () {
	curl -sf -X POST "http://$FLEET_LOG/fault?$1" >/dev/null ||
		fleet_fail "setting the fault $1 failed"
}
