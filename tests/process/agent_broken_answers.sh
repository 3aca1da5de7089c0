# Guards against bytes of an agent's server that are no answer in HTTP reaching a caller, or
# ending the agent.
. tests/fleet/fleet.sh
fleet_begin

fleet_platform
fleet_standin raw raw
fleet_entry entry-1 akl-a akl
# Each service has one server, which gives one kind of answer.
fleet_agent agent-sound akl-a akl sound \
	"$(fleet_raw_peer close "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")" plain
fleet_agent agent-status akl-a akl status \
	"$(fleet_raw_peer close "HTTP/1.1 000 \r\nContent-Length: 7\r\n\r\nBROKEN!")" plain
fleet_agent agent-field akl-a akl field \
	"$(fleet_raw_peer close "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 7\r\n\r\nBROKEN!")" plain
fleet_agent agent-length akl-a akl length \
	"$(fleet_raw_peer close "HTTP/1.1 200 OK\r\nContent-Length: 7x\r\n\r\nBROKEN!")" plain
fleet_agent agent-coding akl-a akl coding \
	"$(fleet_raw_peer close "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nBROKEN!")" plain
fleet_publish

# ask SERVICE: prints the status of a request.
ask () {
	curl -s -m 5 -o "$FLEET_DIR/$1.body" -w '%{http_code}' -d p \
		"$(fleet_url entry-1)/v1/services/$1/echo" || :
}


answers () {
	test "$(ask sound)" = 200
}

wait_until answers
echo "sound: 200"
for service in status field length coding
do
	# The agent may not be known to the entry yet, which refuses then.
	polls=0
	while status=$(ask $service); test "$status" = 503 || test "$status" = 404
	do
		polls=$((polls + 1))
		test $polls -lt 200 || break
		sleep 0.1
	done
	# Whether the request has run is unknown.
	expect "$service" "$status" 504
	grep -q BROKEN "$FLEET_DIR/$service.body" &&
		fleet_fail "$service: the broken answer was passed on"
	fleet_runs "agent-$service" || fleet_fail "$service: the agent has ended"
done
