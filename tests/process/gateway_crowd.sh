# Guards against clients that end the process by what they make it hold: bodies that stop
# short of their end or exceed the limit, heads without end, answers that are never read, and
# more connections than there are descriptors.
#
# The argument is the pattern. Neither the crowd nor the bounds depend on the machine's speed.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
# Freed memory is given back under the sanitizers as well.
export ASAN_OPTIONS="quarantine_size_mb=0:thread_local_quarantine_size_kb=0${ASAN_OPTIONS:+:$ASAN_OPTIONS}"
fleet_begin

GATEWAY_MEMORY_MB=96
GATEWAY_DESCRIPTORS=400
# Peak that the crowd may add to an idle process, in KB: a process of 16 MB stays within the
# memory of its VM.
PEAK_KB=$(((GATEWAY_MEMORY_MB - 16) * 1024))
BODY=4194304

pattern=$1
path=/stream/crowd
events="--events 3"
case $pattern in
chunks) crowd="chunks 60 $((BODY - 10))" ;;
length) crowd="length 60 $((BODY - 10))" ;;
tiny-chunks) crowd="tiny-chunks 60 $BODY" ;;
over-chunks) crowd="chunks 60 16000000" ;;
announced) crowd="announced 60 16000000" ;;
fields) crowd="fields 350 400000" ;;
pipelined) crowd="pipelined 60 8000000" ;;
bodies) crowd="bodies 60 $((BODY - 1000))" ;;
jobs) crowd="bodies 60 $((BODY - 1000))" path=/batch/crowd ;;
results) crowd="reads 150 0" path=/lots/large events="--events 16 --event-ms 1 --event-bytes 60000" ;;
unread) crowd="bodies 60 10" events="--events 500 --event-ms 1 --event-bytes 65536 --slots 60" ;;
silent) crowd="silent 600 0" ;;
stalled) crowd="length 600 100" ;;
values) crowd="values 6 $((BODY - 1000))" path=/batch/crowd ;;
*) fleet_fail "unknown pattern $pattern" ;;
esac

# memory FIELD: prints a value of the gateway's memory, in KB.
memory () {
	sed -n "s/^$1:[^0-9]*\\([0-9]*\\).*/\\1/p" "/proc/$(fleet_pid g1)/status"
}

# in_bounds WHEN: the process lives, within its memory and descriptors.
in_bounds () {
	fleet_runs g1 || fleet_fail "$1: the process has ended"
	peak=$(($(memory VmHWM) - idle))
	files=$(ls "/proc/$(fleet_pid g1)/fd" | wc -l)
	test "$peak" -le "$PEAK_KB" ||
		fleet_fail "$1: the peak is $peak KB above the idle process, not $PEAK_KB"
	test "$files" -le "$GATEWAY_DESCRIPTORS" ||
		fleet_fail "$1: $files descriptors, not $GATEWAY_DESCRIPTORS"
}

# settled: the crowd has been as it is for a second.
settled () {
	for _ in 1 2 3 4 5
	do
		in_bounds "while the crowd sends"
		now=$(curl -sf "http://$(fleet_address crowd)/crowd")
		test "$now" = "$seen" || { seen=$now; return 1; }
		sleep 0.2
	done
}

# served ID: an ordinary request is answered.
served () {
	gateway_call g1 "$1" /plain/ordinary -d ordinary -m 20 | grep -qx ordinary
}

gateway_alone
# Words of the worker's options.
# shellcheck disable=SC2086
gateway_server server-1 model $events
gateway_server server-2 desk --plain on
wait_until gateway_knows g1 server-1
wait_until gateway_knows g1 server-2
wait_until served before
if test "$pattern" = results
then
	test "$(gateway_status g1 large /batch/x -d '{"Items":[{"Id":"large","Path":"/batch/x","Headers":{"X-Token-Count":"10,400000"},"Body":"cA==","Tokens":400010}]}')" = 202 ||
		fleet_fail "the job was not accepted"
	wait_until gateway_has_results g1 large 1
fi
fleet_standin crowd crowd
idle=$(memory VmRSS)
set -- $crowd
curl -sf -X POST "http://$(fleet_address crowd)/crowd?address=$(gateway_address g1 front)&send=$1&clients=$2&bytes=$3&host=$GATEWAY_HOST&path=$path" ||
	fleet_fail "the crowd did not gather"
seen=
# Not by wait_until, which hides what fails.
polls=0
until settled
do
	polls=$((polls + 1))
	test $polls -lt 300 || fleet_fail "the crowd does not settle: $now"
done
in_bounds "with the crowd"
wait_until served beside
in_bounds "after an ordinary request"
curl -sf -X POST "http://$(fleet_address crowd)/calm"
wait_until served after
in_bounds "after the crowd"
# A single request within the limits is served in calm.
head -c $BODY /dev/zero | tr '\0' x >"$FLEET_DIR/large"
large () {
	test "$(gateway_status g1 "$1" /plain/large --data-binary "@$FLEET_DIR/large")" = 200
}
wait_until large after
in_bounds "after a large request"
echo "$pattern: within bounds, ordinary requests answered"
