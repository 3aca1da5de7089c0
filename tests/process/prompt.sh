# briarplankctl's prompt on a terminal: completion, history within a session and
# across sessions, end by ^D, and exit statuses.
. tests/fleet/fleet.sh
fleet_begin

FLEET_ACCESS=$(fleet_access "ann:ops:operator")
fleet_platform
fleet_entry entry-1 akl-a akl
fleet_publish
wait_until fleet_ready entry-1
echo ann >"$FLEET_DIR/key"
mkfifo "$FLEET_DIR/keys"

# begin: starts the client on a terminal of script(1), with input from fd 3.
begin () {
	: >"$FLEET_DIR/screen"
	HOME=$FLEET_DIR TERM=vt100 script -q -e -f -O "$FLEET_DIR/screen" \
		-c "$BUILD/briarplankctl/briarplankctl -e $(fleet_url entry-1) -k $FLEET_DIR/key" \
		<"$FLEET_DIR/keys" >/dev/null 2>&1 &
	session=$!
	FLEET_PIDS="$FLEET_PIDS $session"
	exec 3>"$FLEET_DIR/keys"
	wait_until shows 'briarplank>' 1
}

# shows TEXT NR: the text was displayed at least this number of times.
shows () {
	test "$(tr '\r' '\n' <"$FLEET_DIR/screen" | grep -c -e "$1")" -ge "$2"
}

type_keys () {
	printf "$1" >&3
}

# ends STATUS: waits until the session ends with this exit status.
ends () {
	wait $session
	got=$?
	exec 3>&-
	test $got -eq "$1" || fleet_fail "ended with $got instead of $1"
}

# Words are completed; an ambiguous one lists the candidates.
begin
type_keys 'sh\t'
wait_until shows 'show ' 1
type_keys 'nod\t\r'
wait_until shows 'entry-1 .*akl-a' 1
type_keys 'set service.\t\t'
wait_until shows 'service\.\*\.timeout_ms' 1
type_keys '\025'

# The previous line can be recalled and sent again.
type_keys '\020\r'
wait_until shows 'entry-1 .*akl-a' 2

# The error for a bad line names the column; the exit status is the last line's.
type_keys 'show nonsense\r'
wait_until shows 'column' 1
type_keys '\004'
ends 2

# The history persists across sessions; empty lines are not recorded.
begin
type_keys '\r'
type_keys '\020\020\r'
wait_until shows 'entry-1 .*akl-a' 1
type_keys '\004'
ends 0

# "exit" also ends the session, and is not recorded.
begin
type_keys 'exit\r'
ends 0
if grep -q exit "$FLEET_DIR/.briarplankctl_history"
then
	fleet_fail "exit is in the history"
fi
echo "completion, history and exit statuses work"
