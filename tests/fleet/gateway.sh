# Functions to run gateways on loopback with stand-ins for the platform's store
# and servers. Tests source this file after tests/fleet/fleet.sh.

GATEWAY_HOST=desk.example

# gateway_put TOPIC KEY VALUE: writes a value to the store.
gateway_put () {
	curl -sf -X POST --data-binary "$3" \
		"http://$(fleet_address store)/put?Topic=$1&Key=$2" ||
		fleet_fail "the store did not accept $2"
}

# gateway_config VERSION [LIMIT]: writes a configuration with a resumable stream
# route, one that can't be resumed, a plain route, and a batch route with a
# limit of waiting tokens. GATEWAY_ACCOUNTS is its list of client accounts, if
# there are any; the plain route is public then. GATEWAY_WEIGHTS, as "9 1", splits the
# first route and the batch route between the services model and model-b; a weight of 0
# leaves the service out.
gateway_config () {
	targets='"Service":"model"'
	if test -n "$GATEWAY_WEIGHTS"
	then
		targets=$(echo "$GATEWAY_WEIGHTS" | awk '{
			if ($1) list = "{\"Service\":\"model\",\"Weight\":" $1 "}"
			if ($2) list = list (list ? "," : "") "{\"Service\":\"model-b\",\"Weight\":" $2 "}"
			print "\"Backends\":[" list "]"
		}')
	fi
	gateway_put keyed.op config "{\"Version\":$1,\"Routes\":[
	{\"Name\":\"stream\",\"Host\":\"$GATEWAY_HOST\",\"PathPrefix\":\"/stream/\",\"Kind\":\"stream\",\"TimeoutMs\":8000,\"ObjectiveMs\":2000,$targets,\"MaxAttempts\":2,\"CanResume\":true},
	{\"Name\":\"once\",\"Host\":\"$GATEWAY_HOST\",\"PathPrefix\":\"/once/\",\"Kind\":\"stream\",\"TimeoutMs\":8000,\"ObjectiveMs\":2000,\"Service\":\"model\",\"MaxAttempts\":1,\"CanResume\":false},
	{\"Name\":\"plain\",\"Host\":\"$GATEWAY_HOST\",\"PathPrefix\":\"/plain/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,\"ObjectiveMs\":1000,\"Service\":\"desk\",\"Public\":true,\"MaxAttempts\":3},
	{\"Name\":\"batch\",\"Host\":\"$GATEWAY_HOST\",\"PathPrefix\":\"/batch/\",\"Kind\":\"batch\",\"TimeoutMs\":9000,\"ObjectiveMs\":400,$targets,\"MaxAttempts\":3,\"CanResume\":true,\"CompletionMs\":18000,\"RetentionS\":60,\"MaxCount\":${2:-0}}],
	\"Services\":[{\"Name\":\"model\",\"HealthPath\":\"/health\",\"MaxConns\":300},{\"Name\":\"model-b\",\"HealthPath\":\"/health\",\"MaxConns\":300},{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":300}],
	\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}${GATEWAY_ACCOUNTS:+,\"Tenants\":$GATEWAY_ACCOUNTS}}"
}

# gateway_list_address ADDRESS SERVICE STATE ID: lists a server at an address.
gateway_list_address () {
	gateway_put keyed.servers "$4" "{\"Service\":\"$2\",\"Address\":\"$1\",\"Zone\":\"${GATEWAY_ZONE:-dc1}\",\"Version\":\"${GATEWAY_SOFTWARE:-v1}\",\"Capacity\":4,\"State\":\"$3\",\"WarmupMs\":0,\"Sequence\":1,\"born\":${GATEWAY_BORN:-1}}"
}

# gateway_list NAME SERVICE [STATE] [ID]: lists a server, or changes its state.
gateway_list () {
	gateway_list_address "$(fleet_address "$1")" "$2" "${3:-ready}" \
		"${4:-$(fleet_address "$1")}"
}

# gateway_raw_server ID SERVICE THEN BYTES: lists a raw peer as a server; see
# fleet_raw_peer.
gateway_raw_server () {
	fleet_raw_peer "$3" "$4" >"$FLEET_DIR/$1.raw"
	gateway_list_address "$(cat "$FLEET_DIR/$1.raw")" "$2" ready "$1"
}

# gateway_raw_count ID accepted|open|repeated|replies: prints the number of connections
# of a raw server, of those that are open, of the bytes of its repetitions, or of the
# requests that got a reply.
gateway_raw_count () {
	curl -sf "http://$(fleet_address raw)/peer?address=$(cat "$FLEET_DIR/$1.raw")" |
		sed -n "s/.*$2=\([0-9]*\).*/\1/p"
}

# gateway_server NAME SERVICE [STANDIN ARGS]: starts and lists a server.
gateway_server () {
	name=$1
	service=$2
	shift 2
	fleet_standin "$name" worker "$@"
	gateway_list "$name" "$service"
}

# gateway_software_server NAME VERSION [STANDIN ARGS]: starts and lists a server of the
# service model whose events name the version of its software.
gateway_software_server () {
	name=$1
	GATEWAY_SOFTWARE=v$2
	shift
	gateway_server "$name" model --software "$@"
	GATEWAY_SOFTWARE=
}

# gateway_start NAME: starts or restarts a gateway.
gateway_start () {
	cat >"$FLEET_DIR/$1.json" <<END
{
	"node": { "name": "$1", "ip": "127.0.0.1", "port": 0,
		  "memory_mb": ${GATEWAY_MEMORY_MB:-0},
		  "descriptors": ${GATEWAY_DESCRIPTORS:-0},
		  "data_centre": "dc1", "region": "r1" },
	"data_centres": [ { "name": "dc1", "region": "r1" } ],
	"listen": { "front": "127.0.0.1:0", "ready": "127.0.0.1:0",
		    "metrics": "127.0.0.1:0" },
	"store": { "address": "${GATEWAY_STORE:-$(fleet_address store)}",
		   "readers_from": ${GATEWAY_READERS:-24},
		   "retention_s": 300 },
	"stop": { "grace_s": ${GATEWAY_GRACE_S:-8} }
}
END
	fleet_spawn "$1" "$BUILD/briarplankd/briarplankd" --role gateway \
		--config "$FLEET_DIR/$1.json"
	wait_until grep -q event=start "$FLEET_DIR/$1.log"
}

# gateway_address NAME front|ready|metrics: prints an address of a gateway.
gateway_address () {
	sed -n "s/.*event=start.* $2=\\([0-9.:]*\\).*/\\1/p" \
		"$FLEET_DIR/$1.log" | tail -n 1
}

# gateway_knows NAME SERVER: tells whether a gateway lists a server as ready.
gateway_knows () {
	grep -q "event=server id=$(fleet_address "$2") .* ready" \
		"$FLEET_DIR/$1.log"
}

# gateway_knows_raw NAME ID: tells whether a gateway lists a raw server as ready
# at its newest address.
gateway_knows_raw () {
	grep -q "event=server id=$2 .* address=$(cat "$FLEET_DIR/$2.raw") .* ready" \
		"$FLEET_DIR/$1.log"
}

# gateway_listed NAME ID STATE COUNT: tells whether a gateway has logged this
# state of a server this many times.
gateway_listed () {
	test "$(grep -c "event=server id=$2 .* $3" "$FLEET_DIR/$1.log")" = "$4"
}

# gateway_ready NAME: tells whether the readiness check succeeds.
gateway_ready () {
	curl -sf -o /dev/null "http://$(gateway_address "$1" ready)/ready"
}

# gateway_call NAME ID PATH [CURL ARGS]: sends a request, prints the body.
gateway_call () {
	node=$1
	id=$2
	path=$3
	shift 3
	curl -s -H "Host: $GATEWAY_HOST" -H "X-Attempt-Id: $id" \
		-H "X-Deadline-Ms: 6000" "$@" \
		"http://$(gateway_address "$node" front)$path"
}

# gateway_status NAME ID PATH [CURL ARGS]: sends a request, prints the status.
gateway_status () {
	gateway_call "$@" -o "$FLEET_DIR/body" -w '%{http_code}'
}

# gateway_job ITEMS [BODY] [PREFIX]: prints a job whose items have this body and
# ids with this prefix.
gateway_job () {
	body=$(printf '%s' "${2:-work}" | base64 -w0)
	seq 1 "$1" | while read -r i
	do
		printf '{"Id":"%s-%s","Path":"/batch/%s","Headers":{"X-Model":"m"},"Body":"%s","Tokens":100}\n' \
			"${3:-item}" "$i" "$i" "$body"
	done | paste -s -d, - | sed 's/^/{"Items":[/; s/$/]}/'
}

# gateway_results NAME JOB: prints the number of results of a job.
gateway_results () {
	gateway_call "$1" read "/lots/$2?After=0" |
		grep -o '"Id"' | wc -l
}

# gateway_has_results NAME JOB COUNT: tells whether a job has this many results.
gateway_has_results () {
	test "$(gateway_results "$1" "$2")" -ge "$3"
}

# gateway_runs ID: prints how often all servers together ran a request.
gateway_runs () {
	for log in "$FLEET_DIR"/server-*.log
	do
		curl -s "http://$(fleet_address "$(basename "$log" .log)")/runs" |
			grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$'
	done | awk '{ sum += $1 } END { print sum + 0 }'
}

# gateway_fields NAME ID: prints the header fields with which a server ran a
# request last.
gateway_fields () {
	curl -sf "http://$(fleet_address "$1")/fields?id=$2"
}

# gateway_hold TOPIC 1|0: makes the store's reads of a topic fail, or succeed again.
gateway_hold () {
	curl -sf -X POST "http://$(fleet_address store)/hold?Topic=$1&on=$2" ||
		fleet_fail "the store did not accept the hold of $1"
}

# gateway_metric NAME METRIC: prints the sum of a metric over its labels.
gateway_metric () {
	curl -s "http://$(gateway_address "$1" metrics)/metrics" |
		awk -v name="$2" '$1 == name || index($1, name "{") == 1 {
			sum += $2
		} END { print sum + 0 }'
}

# gateway_crashed: prints the number of servers that have ended.
gateway_crashed () {
	gone=0
	for pid in "$FLEET_DIR"/server-*.pid
	do
		fleet_runs "$(basename "$pid" .pid)" || gone=$((gone + 1))
	done
	echo "$gone"
}

# gateway_quarantined NAME COUNT: tells whether operators are shown a quarantine for
# which this many servers ended.
gateway_quarantined () {
	"$BUILD/briarplankctl/briarplankctl" \
		-e "http://$(gateway_address "$1" metrics)" 'show quarantine' |
		grep -q " quarantined *$2 "
}

# gateway_alone: starts a store and the gateway g1, with a configuration.
gateway_alone () {
	fleet_standin store store
	gateway_start g1
	gateway_config 1
	wait_until gateway_ready g1
}

# gateway_pair: starts a store and the gateways g1 and g2, with a configuration.
gateway_pair () {
	gateway_alone
	gateway_start g2
	wait_until gateway_ready g2
}

# gateway_resumes NAME ATTEMPT: tells whether a node takes up the stream that an attempt
# began, of which the caller has two events.
gateway_resumes () {
	test "$(gateway_status "$1" again /stream/x -d p -H 'Last-Event-Id: 2' \
		-H "Resumes: $2")" = 200
}

# gateway_holds NAME ID: tells whether a server holds a request with the body
# "hold EVENT" at that event.
gateway_holds () {
	curl -sf "http://$(fleet_address "$1")/held" | grep -q "\"$2\""
}
