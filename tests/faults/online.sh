# Runs a table of faults of online requests: online.sh TABLE [NAME].
#
# Calls go to a real entry; fake agents follow the steps of each row.
. tests/fleet/fleet.sh
fleet_begin
TABLE=$1
ONLY=${2:-}
BATCH=20

grep -v -e '^#' -e '^$' "$TABLE" | grep -F -e "$ONLY" >"$FLEET_DIR/rows"

# Prints a column of a row without surrounding blanks.
column () {
	printf '%s\n' "$1" | cut -d'|' -f"$2" | sed 's/^ *//; s/ *$//'
}

# word TEXT KEY: prints the VALUE of the word KEY:VALUE in the text.
word () {
	printf '%s\n' "$1" | tr ' ' '\n' | sed -n "s/^$2://p"
}

start_agent () {
	fleet_spawn "$1" "$BUILD/tests/faults/fake_agent" "$1" "$2" entry \
		"$(fleet_word entry bus)"
}

# Starts the agents that only this row uses.
start_agents () {
	case $(column "$2" 2) in
	two*)
		start_agent "row-$1-a" "row-$1"
		start_agent "row-$1-b" "row-$1"
		;;
	one*)
		start_agent "row-$1-a" "row-$1"
		;;
	esac
}

agent_is_known () {
	grep -q "$1 is up" "$FLEET_DIR/entry.log"
}

prepare () {
	row=$1
	agents=$2
	agent=$(word "$agents" killed)
	test -z "$agent" || fleet_signal "row-$row-$agent" KILL
	agent=$(word "$agents" frozen)
	test -z "$agent" || fleet_signal "row-$row-$agent" STOP
	resume_ms=$(word "$agents" resumed)
	test -z "$resume_ms" ||
		(sleep "$resume_ms"e-3; fleet_signal "row-$row-a" CONT) &
}

# Sends a row's call to the entry; stores head, body and curl's exit status.
call () {
	row=$1
	line=$2
	agents=$(column "$line" 2)
	service=row-$row
	test "$agents" = shared && service=shared
	set -- $(column "$line" 4)
	deadline=$1
	gone=$(word "${2:-}" gone)
	prepare "$row" "$agents"
	status=0
	curl -sN -g -o "$FLEET_DIR/$row.body" -D "$FLEET_DIR/$row.head" \
		${gone:+--max-time "$gone"e-3} \
		-H "Briarplank-Idempotent: $(column "$line" 3)" \
		-H "Briarplank-Timeout: ${deadline}ms" -d body \
		"$(fleet_url entry)/v1/services/$service/$(column "$line" 5)" ||
		status=$?
	echo "$status" >"$FLEET_DIR/$row.status"
}

# Prints a header field of the answer.
field () {
	tr -d '\r' <"$FLEET_DIR/$1.head" |
		sed -n "s/^$2: //Ip" | head -n 1
}

# Counts the lines of the agents' output that begin with a text.
count () {
	cat "$FLEET_DIR"/shared-*.log "$FLEET_DIR"/row-*.log 2>/dev/null |
		grep -c "^$1 " || true
}

# Prints the result of a row's call in the form of the table's columns.
outcome () {
	row=$1
	id=$(field "$row" briarplank-request-id)
	code=$(sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' "$FLEET_DIR/$row.head")
	body=$(cat "$FLEET_DIR/$row.body" 2>/dev/null)
	status=$(cat "$FLEET_DIR/$row.status")
	runs=0
	if test "$status" -eq 28
	then
		runs=$(cat "$FLEET_DIR/row-$row"-*.log | grep -c "^ran " || true)
		echo "- | - | gone | $runs"
		return
	fi
	runs=$(count "ran $id")
	case $(field "$row" content-type) in
	application/problem+json)
		body=problem
		;;
	*)
		test "$status" -eq 0 && body="whole $body" ||
			body="broken $body"
		;;
	esac
	echo "$code | $(field "$row" briarplank-outcome) | $body | $runs"
}

was_cancelled () {
	id=$(field "$1" briarplank-request-id)
	if test "$(cat "$FLEET_DIR/$1.status")" -eq 28
	then
		grep -q "^cancel " "$FLEET_DIR/row-$1"-*.log
	else
		test "$(count "cancel $id")" -gt 0
	fi
}

check () {
	row=$1
	line=$2
	name=$(column "$line" 1)
	set -- $(column "$line" 9)
	expected="$(column "$line" 6) | $(column "$line" 7) | $(column "$line" 8) | $1"
	got=$(outcome "$row")
	if test "$got" != "$expected"
	then
		echo "FAILED $name: expected $expected, got $got"
		grep -F "$(field "$row" briarplank-request-id)" \
			"$FLEET_DIR/entry.log" | tail -n 8
		return 1
	fi
	if test "${2:-}" = cancel && ! was_cancelled "$row"
	then
		echo "FAILED $name: the agent was not told to cancel"
		return 1
	fi
	case $got in
	503*|429*)
		if test -z "$(field "$row" retry-after)"
		then
			echo "FAILED $name: no Retry-After"
			return 1
		fi
		;;
	esac
	echo "ok $name"
}

fleet_platform
cat >"$FLEET_DIR/entry.json" <<EOF
{
	"node": { "name": "entry", "role": "entry", "data_centre": "d",
		  "region": "r", "bus": "127.0.0.1:0" },
	"log": { "level": "debug" },
	"web": { "listen": "127.0.0.1:0" },
	"platform": { "log": "$FLEET_LOG" }
}
EOF
fleet_start_node entry
start_agent shared-a shared
start_agent shared-b shared
row=0
while read -r line
do
	row=$((row + 1))
	start_agents "$row" "$line"
done <"$FLEET_DIR/rows"
for log in "$FLEET_DIR"/shared-*.log "$FLEET_DIR"/row-*.log
do
	test ! -e "$log" || wait_until agent_is_known "$(basename "$log" .log)"
done

# Fills the retry budget for the rows: each success adds to it.
curl -s -g -d body "$(fleet_url entry)/v1/services/shared/run,admit,head,last:0:[1-400]" \
	>/dev/null

# The calls of a batch are sent at the same time.
calls=
row=0
while read -r line
do
	row=$((row + 1))
	call "$row" "$line" </dev/null &
	calls="$calls $!"
	if test $((row % BATCH)) -eq 0
	then
		wait $calls
		calls=
	fi
done <"$FLEET_DIR/rows"
test -z "$calls" || wait $calls

failed=0
row=0
while read -r line
do
	row=$((row + 1))
	check "$row" "$line" || failed=$((failed + 1))
done <"$FLEET_DIR/rows"
echo "$((row - failed)) of $row rows passed"
test "$failed" -eq 0 || fleet_fail "$failed rows"
