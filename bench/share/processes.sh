# Measures batch throughput and its effect on online latency with real processes:
# an entry, agents and simulated engines. All policies run at the same time, each
# on its own engine, with the same arrivals as in batch_share.
#
# usage: processes.sh [SEED] [SECONDS] [LOAD]
#
# Policies: (a) no batch work, (b) no limit on batch work, (c) a fixed number of
# batch streams, (d) the agent's batch share at weights 20 and 80. Batch work of
# (b) and (c) is sent directly to the engine, not through the agent.
. tests/fleet/fleet.sh
. tests/process/ledger.sh
FLEET_WAIT_MS=60000
seed=${1:-${SEED:-1}}
seconds=${2:-60}
arrivals=${3:-busy}
policies="no-batch engine-alone fixed-08 ours-020 ours-080"
# These options give the "large" performance curve of batch_share.
curve="--base-gap-us 15000 --knee 16 --slope 500 --max-running 64
	--prefill-us-per-token 20 --cache-tokens 131072"
alone_streams=256
items=1500

fleet_begin
load=$BUILD/bench/load
FLEET_ACCESS=$(fleet_access "desk:batch ann:ops:operator"),$(
	fleet_access "depot:online" |
		sed 's/}$/,"requests_per_s":100000,"burst":100000}/')
fleet_platform
ENTRIES=entry-1
fleet_entry entry-1 akl-a akl
for policy in $policies
do
	# shellcheck disable=SC2086
	fleet_standin "engine-$policy" engine $curve
	fleet_agent "agent-$policy" akl-a akl "$policy" \
		"$(fleet_address "engine-$policy")"
done
fleet_publish
wait_until fleet_ready entry-1
wait_until all_owned
entry=$(fleet_word entry-1 web)

# operate COMMAND: runs an operator command.
operate () {
	curl -sf -H "Authorization: Bearer ann" -d "$1" \
		"http://$entry/v1/operator" >/dev/null
}

for policy in $policies
do
	wait_until operate "set service.$policy.token_gap_target_ms 32"
	weight=$(echo "$policy" | sed -n 's/ours-0*//p')
	test -z "$weight" ||
		wait_until operate "set service.$policy.batch_weight $weight"
done

works () {
	"$load" -a "$entry" -k depot -s "$1" -r 10 -d 0.3 -t 2 |
		grep -q 'whole=[1-9]'
}
for policy in $policies
do
	wait_until works "$policy"
done

"$BUILD/bench/batch_share" trace "$seed" "$seconds" large "$arrivals" \
	>"$FLEET_DIR/arrivals"
awk -v nr="$items" -v seed="$seed" 'BEGIN {
	srand(seed)
	for (i = 1; i <= nr; i++) {
		words = 100 + int(rand() * 701)
		printf "{\"id\":\"item-%d\",\"idempotent\":true,\"body\":{\"stream\":true,\"max_tokens\":%d,\"prompt\":\"", i, 30 + int(rand() * 171)
		for (j = 0; j < words; j++)
			printf " %03d", rand() * 1000
		print "\"}}"
	}
}' >"$FLEET_DIR/items"

# engine_tokens POLICY: prints the tokens that its engine has generated so far.
engine_tokens () {
	curl -s "http://$(fleet_address "engine-$1")/v1/load" |
		sed 's/.*"tokens": *\([0-9]*\).*/\1/'
}

# begin_batch POLICY: starts batch work for the whole run.
begin_batch () {
	streams=0
	case "$1" in
	no-batch)
		return
		;;
	engine-alone)
		streams=$alone_streams
		;;
	fixed-*)
		streams=$(echo "$1" | sed 's/fixed-0*//')
		;;
	ours-*)
		wait_until submitted entry-1 "$1" "$FLEET_DIR/items" \
			"service=$1&path=v1/completions&keep=1h"
		return
		;;
	esac
	# The batch load lasts longer than the run, so that it does not end
	# before it.
	fleet_spawn "batch-$1" "$load" --direct \
		-a "$(fleet_address "engine-$1")" --closed "$streams" \
		-w 100 --words-most 800 -t 30 --tokens-most 200 \
		--timeout 600000 --seed "$seed" -d $((seconds * 2))
}

# measure POLICY: runs the online load and counts the tokens that the engine
# generates during it.
measure () {
	before=$(engine_tokens "$1")
	begun=$(date +%s%3N)
	"$load" -l "$1" -a "$entry" -k depot -s "$1" \
		--trace "$FLEET_DIR/arrivals" --timeout 30000 -d "$seconds" \
		--seed "$seed" >"$FLEET_DIR/online-$1"
	echo "$(($(engine_tokens "$1") - before)) $(($(date +%s%3N) - begun))" \
		>"$FLEET_DIR/given-$1"
}

for policy in $policies
do
	begin_batch "$policy"
done
pids=
for policy in $policies
do
	measure "$policy" &
	pids="$pids $!"
done
# shellcheck disable=SC2086
wait $pids

for policy in $policies
do
	awk -v curve="large-$arrivals" \
		-v given="$(cut -d' ' -f1 "$FLEET_DIR/given-$policy")" \
		-v ms="$(cut -d' ' -f2 "$FLEET_DIR/given-$policy")" '
	{
		for (i = 1; i <= NF; i++) {
			split($i, pair, "=")
			value[pair[1]] = pair[2]
		}
		printf "processes-%s-%s first_ms_p50=%.1f first_ms_p95=%.1f first_ms_p99=%.1f gap_ms_p50=%.1f gap_ms_p95=%.1f gap_ms_p99=%.1f within_32ms=%.4f batch_tokens_s=%.1f sent=%d whole=%d not_run=%d\n", \
			curve, $1, value["first_p50_ms"], value["first_p95_ms"], \
			value["first_p99_ms"], value["gap_p50_ms"], \
			value["gap_p95_ms"], value["gap_p99_ms"], \
			value["within_32ms"], \
			(given - value["tokens"] + value["whole"]) * 1000 / ms, \
			value["sent"], value["whole"], value["not_run"]
	}' "$FLEET_DIR/online-$policy" | tee -a "$FLEET_DIR/all"
done

# Simulate the same policies and the oracle in virtual time.
"$BUILD/bench/batch_share" "$seed" "$seconds" large "$arrivals" |
	grep -E -e "-(no-batch|engine-alone|fixed-08|ours-020|ours-080) " |
	sed 's/^/virtual-/' | tee "$FLEET_DIR/virtual"

# Print ratios for the ours-* policies. The oracle's throughput is from the
# simulation in virtual time.
awk '
{
	label = $1
	sub(/^(processes|virtual)-/, "", label)
	for (i = 2; i <= NF; i++) {
		split($i, pair, "=")
		value[label, FILENAME, pair[1]] = pair[2]
	}
	labels[label]
	sub(/-(no-batch|engine-alone|fixed-[0-9]*|ours-[0-9]*)$/, "", label)
	run = label
}
END {
	for (label in labels)
		if (label ~ /ours/)
			printf "processes-%s first_p99_ratio=%.3f oracle_share=%.3f\n", label, \
				value[label, ARGV[1], "first_ms_p99"] / value[run "-no-batch", ARGV[1], "first_ms_p99"], \
				value[label, ARGV[1], "batch_tokens_s"] / value[label, ARGV[2], "oracle_tokens_s"]
}' "$FLEET_DIR/all" "$FLEET_DIR/virtual" | sort
