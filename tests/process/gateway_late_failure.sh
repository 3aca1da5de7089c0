# Guards against an item whose only failure counts twice, as its server sends a second copy
# of that answer late, when the item runs again.
. tests/fleet/fleet.sh
. tests/fleet/gateway.sh
fleet_begin

# failure ID: the answer of a server to a run that failed.
failure () {
	printf '%s' "HTTP/1.1 500 Error\r\nX-Attempt-Id: $1\r\nX-Server-Signature: s\r\nContent-Length: 6\r\n\r\nfailed"
}

# success ID: that to a run that went well.
success () {
	printf '%s' "HTTP/1.1 200 OK\r\nX-Attempt-Id: $1\r\nX-Server-Signature: s\r\nContent-Length: 30\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
}

# run_item JOB ITEM REPLIES: runs an item at a server with these replies until it has a
# result, which goes to the file "results".
run_item () {
	gateway_raw_server "server-$1" model replies "$3"
	wait_until gateway_knows_raw g1 "server-$1"
	expect "job $1" "$(gateway_status g1 "$1" /batch/x \
		-d "$(gateway_job 1 work "$2")")" 202
	wait_until gateway_has_results g1 "$1" 1
	gateway_call g1 read "/lots/$1?After=0" >"$FLEET_DIR/results"
	gateway_list_address "$(cat "$FLEET_DIR/server-$1.raw")" model draining \
		"server-$1"
	wait_until grep -q "event=server id=server-$1 .* draining" "$FLEET_DIR/g1.log"
}

# counted JOB STATE FAILURES RUNS: checks the result of the last job.
counted () {
	grep -q "\"State\":\"$2\"" "$FLEET_DIR/results" ||
		fleet_fail "$1: $(cat "$FLEET_DIR/results")"
	expect "$1" "$2, $(grep -c "job=$1 item=.* status=500 failures=" "$FLEET_DIR/g1.log") failures, $(gateway_raw_count "server-$1" replies) runs" \
		"$2, $3 failures, $4 runs"
}

fleet_standin raw raw
gateway_alone

# The copy comes while the second run is in progress.
run_item late a "$(failure a-1)\v$(failure a-1)\f\v$(success a-1)"
counted late completed 1 2

# The second run is answered by a copy and then by its own answer.
run_item both b "$(failure b-1)\f$(failure b-1)$(success b-1)"
counted both completed 1 2
run_item pause c "$(failure c-1)\f\v$(failure c-1)$(success c-1)"
counted pause completed 1 2

# Real failures count, each once.
run_item real d "$(failure d-1)"
counted real dead_lettered 3 3
run_item copies e "$(failure e-1)\f$(failure e-1)$(failure e-1)\f$(success e-1)"
counted copies completed 2 3
