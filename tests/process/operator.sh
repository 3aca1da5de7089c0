# Functions for tests of operators' commands, sourced after tests/fleet/fleet.sh.
# The key of an operator is its name.

# ctl STATUS ENTRY OPERATOR ARGS...: briarplankctl must exit with the status.
ctl () {
	wanted=$1
	entry=$2
	echo "$3" >"$FLEET_DIR/$3.key"
	key=$FLEET_DIR/$3.key
	shift 3
	"$BUILD/briarplankctl/briarplankctl" -e "$(fleet_url "$entry")" \
		-k "$key" "$@" >"$FLEET_DIR/out" 2>&1 </dev/null
	got=$?
	test "$got" -eq "$wanted" ||
		fleet_fail "$* ended with $got: $(cat "$FLEET_DIR/out")"
}

# said PATTERN: the output of the last ctl command must match the pattern.
said () {
	grep -q -e "$1" "$FLEET_DIR/out" ||
		fleet_fail "no \"$1\" in: $(cat "$FLEET_DIR/out")"
}
