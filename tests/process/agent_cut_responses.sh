# Guards against responses that the server of an agent broke off reaching callers
# as complete, and against a part of an output counting as a batch result.
. tests/fleet/fleet.sh
fleet_begin

HEAD='HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'

fleet_platform
fleet_standin raw raw
fleet_entry entry-1 akl-a akl
fleet_agent agent-inside akl-a akl inside \
	"$(fleet_raw_peer close "${HEAD}data: a\n\ndata: b")" plain
fleet_agent agent-whole akl-a akl whole \
	"$(fleet_raw_peer close "${HEAD}data: a\n\ndata: b\n\n")" plain
fleet_agent agent-unended akl-a akl unended \
	"$(fleet_raw_peer close "${HEAD}data: {\"token\":\"a\"}\n\n")" engine
for service in head none
do
	test $service = head && end='\r' || end=
	fleet_agent "agent-$service" akl-a akl "$service" \
		"$(fleet_raw_peer close "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n$end")" plain
done
fleet_publish

# ask SERVICE: prints curl's exit status.
ask () {
	status=0
	curl -sN -o "$FLEET_DIR/$1.body" -d '{"prompt":"p","stream":true}' \
		"$(fleet_url entry-1)/v1/services/$1/v1/completions" || status=$?
	echo "$status"
}

arrives () {
	ask "$1" >/dev/null
	grep -q "^data: " "$FLEET_DIR/$1.body"
}

for service in inside whole unended
do
	wait_until arrives "$service"
done
test "$(ask whole)" = 0 || fleet_fail "a complete stream ended with an error"
echo "whole: complete"
test "$(ask inside)" != 0 ||
	fleet_fail "a stream cut inside an event ended without an error"
echo "inside an event: broken off"
test "$(ask unended)" != 0 ||
	fleet_fail "an engine's stream without its last event ended without an error"
echo "without the last event: broken off"

# The heads of these servers' answers stop: the request may have run.
unknown () {
	status=$(curl -sN -o "$FLEET_DIR/body" -w '%{http_code}' -d '{"prompt":"p"}' \
		"$(fleet_url entry-1)/v1/services/$1/v1/completions" || true)
	test "$status" != 200 || fleet_fail "a head that stops was answered 200"
	test "$status" = 504
}
for service in head none
do
	wait_until unknown "$service"
done
echo "inside the head: not answered as whole"
