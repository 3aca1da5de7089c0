# Measures the path caller -> entry -> agent -> engine and back: latency added to
# the first byte, CPU time per request at three rates and per token event at four
# rates on one entry and one agent, and resident memory.
. tests/fleet/fleet.sh
fleet_begin

SEED=${SEED:-1}
load=$BUILD/bench/load

FLEET_ACCESS=$(fleet_access "bench:online" | sed 's/}$/,"requests_per_s":100000,"burst":100000}/')
fleet_platform
fleet_standin engine-1 engine
fleet_entry entry-1 akl-a akl
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_standin engine-2 engine --base-gap-us 500 --knee 10000 --max-running 10000
fleet_agent agent-2 akl-a akl fast-desk "$(fleet_address engine-2)"
fleet_publish
wait_until fleet_ready entry-1
entry=$(fleet_word entry-1 web)

works () {
	"$load" -a "$entry" -k bench -s "$1" -r 10 -d 0.3 -t 2 | grep -q 'whole=[1-9]'
}

echo_works () {
	curl -sf -H "Authorization: Bearer bench" -d x \
		"http://$entry/v1/services/echo-desk/echo"
}
wait_until works claim-desk
wait_until works fast-desk

# A plain service answers immediately, so the difference is the latency of the
# path.
fleet_standin plain-1 plain
fleet_agent agent-3 akl-a akl echo-desk "$(fleet_address plain-1)" plain
fleet_publish
wait_until echo_works
"$load" -l direct --direct -a "$(fleet_address plain-1)" -p echo --mark "" -r 200 -d 8 -t 8 -w 4 --seed "$SEED" >"$FLEET_DIR/direct"
"$load" -l through -a "$entry" -k bench -s echo-desk -p echo --mark "" -r 200 -d 8 -t 8 -w 4 --seed "$SEED" >"$FLEET_DIR/through"
# Baseline latency of the machine for the same number of wake-ups: a direct call
# has 2; the path has 8 more, for the event loop and the ZeroMQ thread of two
# nodes, in both directions.
"$BUILD/bench/chain" -l floor_direct -n 1 -r 200 -d 4 --seed "$SEED" >"$FLEET_DIR/floor_direct"
"$BUILD/bench/chain" -l floor_through -n 5 -r 200 -d 4 --seed "$SEED" >"$FLEET_DIR/floor_through"
for pair in "floor_direct floor_through floor" "direct through path"
do
	set -- $pair
	cat "$FLEET_DIR/$1" "$FLEET_DIR/$2" | tr ' ' '\n' | awk -F= -v label="$3" '
		$1 == "first_p50_ms" { p50[++n] = $2 }
		$1 == "first_p99_ms" { p99[n] = $2 }
		END {
			printf "%s direct_p99_ms=%.3f through_p99_ms=%.3f added_p50_ms=%.3f added_p99_ms=%.3f\n", \
				label, p99[1], p99[2], p50[2] - p50[1], p99[2] - p99[1]
		}'
done

# ticks NAME: prints an expression for the CPU time of a process, in clock ticks.
ticks () {
	cut -d' ' -f14,15 "/proc/$(fleet_pid "$1")/stat" | tr ' ' '+'
}

rss_kb () {
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(fleet_pid "$1")/status"
}

hz=$(getconf CLK_TCK)

# marks AGENT: records the CPU time of the entry and an agent.
marks () {
	entry_mark=$(($(ticks entry-1)))
	agent_mark=$(($(ticks "$1")))
}

# costs AGENT LABEL UNIT EVENTS SECONDS: prints the CPU time per event since the
# last call of marks.
costs () {
	awk -v entry=$(($(ticks entry-1) - entry_mark)) \
		-v agent=$(($(ticks "$1") - agent_mark)) -v hz="$hz" \
		-v label="$2" -v unit="$3" -v events="$4" -v s="$5" '
	BEGIN {
		printf "path %s %ss_per_s=%d entry_us_per_%s=%.2f agent_us_per_%s=%.2f entry_core_percent=%.1f agent_core_percent=%.1f\n", \
			label, unit, events / s, unit, entry / hz * 1e6 / events, \
			unit, agent / hz * 1e6 / events, entry / hz * 100 / s, \
			agent / hz * 100 / s
	}'
}

# total KEY: prints the sum of the values of a key in the result lines on stdin.
total () {
	tr ' ' '\n' | awk -F= -v key="$1" '$1 == key { n += $2 } END { print n + 0 }'
}

for requests in 100 300 900
do
	marks agent-3
	"$load" -a "$entry" -k bench -s echo-desk -p echo --mark "" \
		-r "$requests" -d 4 -w 4 --seed "$SEED" >"$FLEET_DIR/echo"
	costs agent-3 "requests_$requests" request \
		"$(total sent <"$FLEET_DIR/echo")" 4
done

# Three load generators run at the same time, so that they do not limit the
# rate. Each answer has 1000 tokens.
for streams in 3 9 18 36
do
	marks agent-2
	for part in 1 2 3
	do
		"$load" -a "$entry" -k bench -s fast-desk -r "$streams" -d 4 \
			-t 1000 -w 4 --seed "$SEED$part" \
			>"$FLEET_DIR/stream$part" &
		eval "load$part=$!"
	done
	wait "$load1" "$load2" "$load3"
	# The time is 4.5 s because the last answers end after the load of 4 s
	# stops. Each answer has 1000 tokens and an end mark.
	costs agent-2 "streams_$((streams * 3))" token \
		"$(($(cat "$FLEET_DIR"/stream[123] | total whole) * 1001))" 4.5
done
echo "path entry_rss_kb=$(rss_kb entry-1) agent_rss_kb=$(rss_kb agent-2)"
