# What the tests of operators' commands share. Sourced after
# tests/fleet/fleet.sh; a key is its owner's name.

# ctl STATUS ENTRY OPERATOR ARGS...: the command must end with the status.
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

# said TEXT: the last command printed it.
said () {
	grep -q -e "$1" "$FLEET_DIR/out" ||
		fleet_fail "no \"$1\" in: $(cat "$FLEET_DIR/out")"
}
