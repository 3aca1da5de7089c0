# Guards against servers that send bytes without end to many callers at once using up the
# gateway's memory, and with it the requests of others.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
# Freed memory is given back under the sanitizers as well.
export ASAN_OPTIONS="quarantine_size_mb=0:thread_local_quarantine_size_kb=0${ASAN_OPTIONS:+:$ASAN_OPTIONS}"
fleet_begin

GATEWAY_MEMORY_MB=96
# Peak that the answers may add to an idle process, in KB: a process of 16 MB stays within
# the memory of its VM.
PEAK_KB=$(((GATEWAY_MEMORY_MB - 16) * 1024))
CALLERS=60
HEAD='HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n'

# memory FIELD: prints a value of the gateway's memory, in KB.
memory () {
	sed -n "s/^$1:[^0-9]*\\([0-9]*\\).*/\\1/p" "/proc/$(fleet_pid g1)/status"
}

fleet_standin raw raw
gateway_alone
gateway_server server-1 desk --plain on
wait_until gateway_knows g1 server-1
expect "ordinary request" "$(gateway_status g1 before /plain/x -d p)" 200
idle=$(memory VmRSS)

# crowd NAME PATH BYTES: a server of models repeats the last line of the bytes to all callers.
crowd () {
	gateway_raw_server "$1" model repeat "$3"
	wait_until gateway_knows_raw g1 "$1"
	callers=
	for i in $(seq 1 $CALLERS)
	do
		gateway_call g1 "$1-$i" "$2" -N -d p -m 3 -o /dev/null &
		callers="$callers $!"
	done
	status=$(gateway_status g1 "$1-beside" /plain/x -d p -m 5)
	for caller in $callers
	do
		wait "$caller" || :
	done
	gateway_list_address "$(cat "$FLEET_DIR/$1.raw")" model draining "$1"
	wait_until grep -q "event=server id=$1 .* draining" "$FLEET_DIR/g1.log"
	fleet_runs g1 || fleet_fail "$1: the process has ended"
	peak=$(($(memory VmHWM) - idle))
	test "$peak" -le "$PEAK_KB" ||
		fleet_fail "$1: the peak is $peak KB above the idle process, not $PEAK_KB"
	expect "$1, ordinary request" "$status" 200
}

crowd fields /once/x "${HEAD}a:\n"
crowd field /once/x "${HEAD}X-More: more"
crowd interim /once/x 'HTTP/1.1 100 Continue\r\n\r\n'
crowd other-request /once/x "${HEAD}X-Attempt-Id: other\r\n\r\nmore\r\n"
crowd body /once/x "HTTP/1.1 500 Error\r\nX-Server-Signature: s\r\n\r\nmore\r\n"
crowd length /once/x "HTTP/1.1 500 Error\r\nContent-Length: 99999999999\r\n\r\nmore\r\n"
crowd event /once/x "${HEAD}\r\nid: 1\ndata: a\n\nid: 2\n"
crowd events /stream/x "${HEAD}\r\nid: 1\ndata: a\n\ndata: b\n\n:\n\n"
crowd extension /once/x "${HEAD}Transfer-Encoding: chunked\r\n\r\n2;x=\tmore\t"
crowd trailers /once/x "${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: more\r\n"

# Items run elsewhere after such answers.
gateway_raw_server items model repeat "${HEAD}\r\nmore\r\n"
wait_until gateway_knows_raw g1 items
expect "job" "$(gateway_status g1 job-1 /batch/x -H 'Content-Type: application/json' \
	-d "$(gateway_job 40)")" 202
wait_until grep -q 'item=item-.* broken off' "$FLEET_DIR/g1.log"
gateway_list_address "$(cat "$FLEET_DIR/items.raw")" model draining items
gateway_server server-2 model --events 5 --slots 16
wait_until gateway_has_results g1 job-1 40
peak=$(($(memory VmHWM) - idle))
test "$peak" -le "$PEAK_KB" ||
	fleet_fail "items: the peak is $peak KB above the idle process, not $PEAK_KB"
echo "items: run elsewhere"
