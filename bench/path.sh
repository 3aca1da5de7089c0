# Measures the path caller -> entry -> agent -> engine and back: added latency
# of the first byte on an idle loopback, then token events a second through
# one entry and one agent, processor time and resident memory.
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

# A plain service answers at once, so that the difference is the path's.
fleet_standin plain-1 plain
fleet_agent agent-3 akl-a akl echo-desk "$(fleet_address plain-1)" plain
fleet_publish
wait_until echo_works
"$load" -l direct --direct -a "$(fleet_address plain-1)" -p echo --mark "" -r 200 -d 8 -t 8 -w 4 --seed "$SEED" >"$FLEET_DIR/direct"
"$load" -l through -a "$entry" -k bench -s echo-desk -p echo --mark "" -r 200 -d 8 -t 8 -w 4 --seed "$SEED" >"$FLEET_DIR/through"
cat "$FLEET_DIR/direct" "$FLEET_DIR/through"
cat "$FLEET_DIR/direct" "$FLEET_DIR/through" | tr ' ' '\n' | awk -F= '
	$1 == "first_p50_ms" { p50[++n] = $2 }
	$1 == "first_p99_ms" { p99[n] = $2 }
	END {
		printf "path added_p50_ms=%.3f added_p99_ms=%.3f\n", \
			p50[2] - p50[1], p99[2] - p99[1]
	}'

# Processor time of a process so far, in clock ticks.
ticks () {
	cut -d' ' -f14,15 "/proc/$(fleet_pid "$1")/stat" | tr ' ' '+'
}

rss_kb () {
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(fleet_pid "$1")/status"
}

entry_before=$(($(ticks entry-1)))
agent_before=$(($(ticks agent-2)))
for part in 1 2 3
do
	"$load" -l stream$part -a "$entry" -k bench -s fast-desk \
		-r "${STREAM_RATE:-12}" -d 6 -t 1000 -w 4 --seed "$SEED$part" \
		>"$FLEET_DIR/stream$part" &
	eval "load$part=$!"
done
wait "$load1" "$load2" "$load3"
cat "$FLEET_DIR"/stream[123]
hz=$(getconf CLK_TCK)
cat "$FLEET_DIR"/stream[123] | tr ' ' '\n' |
	awk -F= -v entry=$(($(ticks entry-1) - entry_before)) \
		-v agent=$(($(ticks agent-2) - agent_before)) -v hz="$hz" \
		-v entry_kb="$(rss_kb entry-1)" -v agent_kb="$(rss_kb agent-2)" '
	$1 == "tokens_per_s" { tokens += $2 }
	END {
		printf "path token_events_per_s=%d entry_cpu_s=%.2f agent_cpu_s=%.2f entry_rss_kb=%d agent_rss_kb=%d\n", \
			tokens, entry / hz, agent / hz, entry_kb, agent_kb
	}'
