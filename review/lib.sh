# Starts the store's stand-in and gateways for a case. A case's run.sh sets CASE to its
# folder and sources this file.

ROOT=$(cd "$CASE/../.." && pwd)
RECORD_DIR=$CASE
export RECORD_DIR TROUBLE
WORK=$(mktemp -d)
PIDS=

finish () {
	trap - EXIT
	for pid in $PIDS
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
	exit "$1"
}
trap 'finish $?' EXIT
trap 'exit 2' INT TERM

# cannot_run REASON: ends the case as one that could not run.
cannot_run () {
	echo "not run: $*" | tee "$CASE/record.txt"
	exit 2
}

# start NAME COMMAND...: starts a process with its output in NAME.log; its id is in
# the variable PID.
start () {
	name=$1
	shift
	"$@" >"$WORK/$name.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
}

# word NAME TEXT: prints the address behind TEXT in the log of a process.
word () {
	tries=0
	until grep -q "$2[0-9]" "$WORK/$1.log" 2>/dev/null
	do
		tries=$((tries + 1))
		test "$tries" -lt 200 || cannot_run "$1 does not start"
		sleep 0.05
	done
	sed -n "s/.*$2\\([0-9.]*:[0-9]*\\).*/\\1/p" "$WORK/$1.log" | head -n 1
}

# start_store: starts the store's stand-in; its address is in the variable STORE.
start_store () {
	standin=$ROOT/target/review/tests/standin/standin
	test -x "$standin" || cannot_run "review/build.sh has not been run"
	start store "$standin" store --listen 127.0.0.1:0
	STORE=$(word store 'listens: ') || exit 2
}

# start_gateway NAME: starts a gateway as the deploy file does, with settings as
# deploy/gateway.json renders them but for free ports. Its addresses and its id are in
# the variables FRONT, READY and GATEWAY.
start_gateway () {
	cat >"$WORK/$1.json" <<END
{
	"node": { "name": "$1", "ip": "127.0.0.1", "port": 0,
		  "data_centre": "akl-a", "region": "akl", "cpu_share": 0.5 },
	"data_centres": [ { "name": "akl-a", "region": "akl" },
			  { "name": "chc-a", "region": "chc" } ],
	"listen": { "front": "127.0.0.1:0", "ready": "127.0.0.1:0",
		    "metrics": "127.0.0.1:0" },
	"store": { "address": "$STORE", "partitions": 12,
		   "record_bytes": 262144, "call_bytes": 2097152,
		   "reads_per_s": 2000, "retention_s": 300 },
	"stop": { "grace_s": 8 },
	"jobs": { "results_kept_s": 120 }
}
END
	cd "$ROOT" || exit 2
	test -x target/build/briarplankd/briarplankd ||
		cannot_run "the build of deploy/system.toml is missing"
	BRIARPLANK_SETTINGS=$WORK/$1.json
	export BRIARPLANK_SETTINGS
	start "$1" target/build/briarplankd/briarplankd --role gateway
	GATEWAY=$PID
	FRONT=$(word "$1" 'event=start.* front=') || exit 2
	READY=$(word "$1" 'event=start.* ready=') || exit 2
}

# run_case PROGRAM ARGS...: runs the program of the case and ends with its status, which
# is 0 or 1; any other one means that the case could not run.
run_case () {
	"$ROOT/target/review/$@"
	status=$?
	test "$status" -le 1 || status=2
	exit "$status"
}
