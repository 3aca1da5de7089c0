# Starts simulated services and nodes on loopback for tests of whole processes.
#
# Every process binds port 0; its addresses are read from its output and passed
# to the nodes through the VM list. A test sources this file and calls
# fleet_begin first. All processes are killed when the test exits.
#
# BUILD is the build directory. FLEET_TAIL is the number of lines of each log
# that are printed when a test fails.

FLEET_WAIT_MS=${FLEET_WAIT_MS:-20000}

fleet_begin () {
	BUILD=${BUILD:-build}
	FLEET_DIR=$(mktemp -d)
	FLEET_PIDS=
	FLEET_ROWS=
	trap 'status=$?; fleet_end $status' EXIT
	trap 'exit 130' INT TERM
}

fleet_end () {
	trap - EXIT
	# Under set -e, kill fails for an exited process and would end the cleanup.
	set +e
	for pid in $FLEET_PIDS
	do
		fleet_owns "$pid" || continue
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	if test "$1" -ne 0
	then
		for log in "$FLEET_DIR"/*.log
		do
			echo "--- $(basename "$log")" >&2
			tail -n "${FLEET_TAIL:-25}" "$log" >&2
		done
	fi
	rm -rf "$FLEET_DIR"
	exit "$1"
}

fleet_fail () {
	echo "FAILED: $*" >&2
	exit 1
}

# wait_until COMMAND [ARGS]: runs a command repeatedly until it succeeds; fails
# after FLEET_WAIT_MS.
wait_until () {
	waited=0
	while ! "$@" >/dev/null 2>&1
	do
		test "$waited" -lt "$FLEET_WAIT_MS" ||
			fleet_fail "timed out waiting for: $*"
		sleep 0.05
		waited=$((waited + 50))
	done
}

# fleet_word NAME LABEL: prints the IP:PORT after a label in the output of a
# process.
fleet_word () {
	sed -n "s/.*$2 \\([0-9.]*:[0-9]*\\).*/\\1/p" "$FLEET_DIR/$1.log" |
		head -n 1
}

fleet_has_word () {
	test -n "$(fleet_word "$1" "$2")"
}

fleet_pid () {
	cat "$FLEET_DIR/$1.pid"
}

# fleet_owns ID: tells whether this is a process that the test started and has not waited
# for. The kernel may give the id of any other to a new process, of another test too.
fleet_owns () {
	{ read -r stat <"/proc/$1/stat"; } 2>/dev/null || return 1
	# The name, in parentheses, may contain blanks.
	set -- ${stat##*) }
	FLEET_STATE=$1
	test "$2" -eq $$
}

# fleet_runs NAME: tells whether a process has not ended.
fleet_runs () {
	fleet_owns "$(fleet_pid "$1")" && test "$FLEET_STATE" != Z
}

fleet_spawn () {
	name=$1
	shift
	"$@" >"$FLEET_DIR/$name.log" 2>&1 &
	echo $! >"$FLEET_DIR/$name.pid"
	FLEET_PIDS="$FLEET_PIDS $!"
}

# fleet_standin NAME KIND [ARGS]: starts a simulated service.
fleet_standin () {
	name=$1
	kind=$2
	shift 2
	fleet_spawn "$name" "$BUILD/tests/standin/standin" "$kind" \
		--listen 127.0.0.1:0 "$@"
	wait_until fleet_has_word "$name" "listens:"
}

# Prints the address of a simulated service.
fleet_address () {
	fleet_word "$1" "listens:"
}

# fleet_raw_peer THEN BYTES: prints the address of a peer of the stand-in "raw",
# which answers each connection with these bytes, in which printf's escapes are
# expanded, and then does what THEN says: open, close, reset, repeat or trickle. With
# "replies", each request gets the next of several answers; see tests/raw_peer.h.
fleet_raw_peer () {
	printf '%b' "$2" | curl -sf --data-binary @- \
		"http://$(fleet_address raw)/peer?then=$1" ||
		fleet_fail "opening a raw peer failed"
}

# Starts the log service as "log" and the VM list as "vms".
fleet_platform () {
	fleet_standin log log "$@"
	fleet_standin vms vms
	FLEET_LOG=$(fleet_address log)
	FLEET_VMS=$(fleet_address vms)
}

# fleet_fault NAME QUERY: sets or clears a fault of a simulated service.
fleet_fault () {
	curl -sf -X POST "http://$(fleet_address "$1")/fault?$2" >/dev/null ||
		fleet_fail "setting fault $2 of $1 failed"
}

# expect WHAT GOT WANTED: fails unless both are equal.
expect () {
	test "$2" = "$3" || fleet_fail "$1: $2, not $3"
	echo "$1: $2"
}

# fleet_link PROXY NAME [ADDRESS]: prints the address of a proxy's link and sets
# the address that it forwards to, if given.
fleet_link () {
	proxy=http://$(fleet_address "$1")
	curl -sf -X POST "$proxy/link?name=$2" || fleet_fail "opening link $2 failed"
	test -z "${3:-}" ||
		curl -sf -X POST "$proxy/target?name=$2&address=$3" \
			>/dev/null || fleet_fail "setting the target of link $2 failed"
}

# fleet_regions REGION... [-- PROXY ARGS]: starts a proxy "wan-REGION" and a VM
# list "vms-REGION" for each region. Other regions reach nodes that are started
# later through the proxy of the node's region; their VM lists contain the
# addresses of that proxy.
fleet_regions () {
	FLEET_REGIONS=
	while test $# -gt 0 && test "$1" != --
	do
		FLEET_REGIONS="$FLEET_REGIONS $1"
		shift
	done
	test $# -eq 0 || shift
	for region in $FLEET_REGIONS
	do
		fleet_standin "wan-$region" proxy "$@"
		fleet_standin "vms-$region" vms
	done
}

# fleet_advertised NAME REGION: prints the setting of the node's advertised
# address if regions have proxies.
fleet_advertised () {
	test -z "${FLEET_REGIONS:-}" ||
		printf '"bus_advertised": "%s",' \
			"$(fleet_link "wan-$2" "$1")"
}

# fleet_vms REGION: prints the address of the VM list of a region.
fleet_vms () {
	test -z "${FLEET_REGIONS:-}" && echo "$FLEET_VMS" ||
		fleet_address "vms-$1"
}

# fleet_access CALLER:CLASS[:operator]...: prints the access rules of the
# entries. The key of a caller is its name.
fleet_access () {
	printf '%s\n' "$*" | tr ' ' '\n' | while IFS=: read -r caller class flag
	do
		sum=$(printf '%s' "$caller" | sha256sum | cut -d' ' -f1)
		test "$flag" = operator && op=true || op=false
		printf '{"name":"%s","class":"%s","key_sha256":"%s","operator":%s},' \
			"$caller" "${class:-default}" "$sum" "$op"
	done | sed 's/,$//'
}

# FLEET_SETTINGS, FLEET_WEB, FLEET_SERVER and FLEET_PLATFORM_SETTINGS are
# additional members of the settings and of their "web", "server" and "platform"
# objects, for nodes started later. FLEET_PEERS is their list of peers.

# fleet_peer NAME ROLE DATA_CENTRE REGION SERVICE: prints a running node as an
# entry of "peers", for nodes that find it without the VM list.
fleet_peer () {
	printf '{"name":"%s","role":"%s","data_centre":"%s","region":"%s","service":"%s","address":"%s"}' \
		"$1" "$2" "$3" "$4" "$5" "$(fleet_word "$1" bus)"
}

# fleet_entry NAME DATA_CENTRE REGION: starts an entry.
fleet_entry () {
	cat >"$FLEET_DIR/$1.json" <<EOF
{
	${FLEET_SETTINGS:+$FLEET_SETTINGS,}
	"node": { "name": "$1", "role": "entry", "data_centre": "$2",
		  "region": "$3", $(fleet_advertised "$1" "$3")
		  "bus": "127.0.0.1:0" },
	"log": { "level": "${FLEET_LEVEL:-info}" },
	"web": { "listen": "127.0.0.1:0"${FLEET_WEB:+, $FLEET_WEB} },
	"platform": { "log": "$FLEET_LOG", "vm_list": "$(fleet_vms "$3")"${FLEET_PLATFORM_SETTINGS:+, $FLEET_PLATFORM_SETTINGS} },
	"ledger": { "shards": ${FLEET_SHARDS:-4} },
	"peers": [ ${FLEET_PEERS:-} ],
	"access": [ ${FLEET_ACCESS:-} ]
}
EOF
	fleet_start_node "$1"
	fleet_row "$1" entry "$2" "$3" ""
}

# fleet_agent NAME DATA_CENTRE REGION SERVICE SERVER [KIND]: starts an agent.
fleet_agent () {
	cat >"$FLEET_DIR/$1.json" <<EOF
{
	${FLEET_SETTINGS:+$FLEET_SETTINGS,}
	"node": { "name": "$1", "role": "agent", "data_centre": "$2",
		  "region": "$3", $(fleet_advertised "$1" "$3")
		  "bus": "127.0.0.1:0" },
	"log": { "level": "${FLEET_LEVEL:-info}" },
	"web": { "listen": "127.0.0.1:0"${FLEET_WEB:+, $FLEET_WEB} },
	"platform": { "log": "$FLEET_LOG", "vm_list": "$(fleet_vms "$3")"${FLEET_PLATFORM_SETTINGS:+, $FLEET_PLATFORM_SETTINGS} },
	"server": { "service": "$4", "address": "$5", "kind": "${6:-engine}"${FLEET_SERVER:+, $FLEET_SERVER} },
	"peers": [ ${FLEET_PEERS:-} ],
	"ledger": { "shards": ${FLEET_SHARDS:-4} }
}
EOF
	fleet_start_node "$1"
	fleet_row "$1" agent "$2" "$3" "$4"
}

# Starts or restarts a node from its settings file.
fleet_start_node () {
	fleet_spawn "$1" "$BUILD/briarplankd/briarplankd" \
		--config "$FLEET_DIR/$1.json"
	wait_until fleet_has_word "$1" "bus"
	test -z "${FLEET_REGIONS:-}" || fleet_retarget "$1"
}

# fleet_retarget NAME: makes the proxy of a node's region forward to the node's
# current address.
fleet_retarget () {
	region=$(sed -n 's/.*"region": "\([^"]*\)".*/\1/p' \
		"$FLEET_DIR/$1.json" | head -n 1)
	fleet_link "wan-$region" "$1" "$(fleet_word "$1" bus)" \
		>"$FLEET_DIR/$1.wan"
}

# fleet_row NAME ROLE DATA_CENTRE REGION SERVICE [STATE]: writes or replaces the
# row of a node in the VM list.
fleet_row () {
	printf '%s\n' "{\"name\":\"$1\",\"role\":\"$2\",\"state\":\"${6:-live}\",\"address\":\"$(fleet_word "$1" bus)\",\"data_centre\":\"$3\",\"region\":\"$4\",\"service\":\"$5\"}" \
		>"$FLEET_DIR/$1.row"
}

# fleet_row_again NAME: writes the new address of a restarted node to its row.
fleet_row_again () {
	sed "s/\"address\":\"[^\"]*\"/\"address\":\"$(fleet_word "$1" bus)\"/" \
		"$FLEET_DIR/$1.row" >"$FLEET_DIR/row" &&
		mv "$FLEET_DIR/row" "$FLEET_DIR/$1.row"
}

# fleet_rows REGION: prints the rows of all nodes, with the addresses of proxy
# links for nodes in other regions.
fleet_rows () {
	for row in "$FLEET_DIR"/*.row
	do
		if grep -q "\"region\":\"$1\"" "$row" || test -z "$1"
		then
			cat "$row"
		else
			sed "s/\"address\":\"[^\"]*\"/\"address\":\"$(cat "${row%.row}.wan")\"/" "$row"
		fi
	done
}

# fleet_publish_to REGION ADDRESS: writes the rows of all nodes to a VM list.
fleet_publish_to () {
	fleet_rows "$1" | paste -s -d, - | sed 's/^/[/; s/$/]/' \
		>"$FLEET_DIR/vms.json"
	curl -sf -X POST --data-binary "@$FLEET_DIR/vms.json" \
		"http://$2/v1/vms" >/dev/null ||
		fleet_fail "publishing the VM list failed"
}

fleet_publish () {
	fleet_publish_to "" "$FLEET_VMS"
	for region in ${FLEET_REGIONS:-}
	do
		fleet_publish_to "$region" "$(fleet_address "vms-$region")"
	done
}

# Prints an entry's or agent's base URL.
fleet_url () {
	echo "http://$(fleet_word "$1" web)"
}

fleet_ready () {
	curl -sf "$(fleet_url "$1")/readyz" >/dev/null
}

# Sends a signal to a node by its name.
fleet_signal () {
	set -- "$(fleet_pid "$1")" "$2"
	fleet_owns "$1" && kill "-$2" "$1"
}

# fleet_wait NAME: waits for a process to exit and returns its exit status.
fleet_wait () {
	wait "$(fleet_pid "$1")"
}
