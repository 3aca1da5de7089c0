# A fleet with keys on the bus and TLS for callers: answers arrive over HTTP/1.1
# and HTTP/2, and nodes with other keys or without keys can't join.
. tests/fleet/fleet.sh
fleet_begin

daemon=$BUILD/briarplankd/briarplankd
certificate=$FLEET_DIR/certificate.pem
key=$FLEET_DIR/key.pem
openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes \
	-subj /CN=entry -addext subjectAltName=IP:127.0.0.1 -days 2 \
	-keyout "$key" -out "$certificate" 2>/dev/null ||
	fleet_fail "no certificate"
keys=$("$daemon" --make-keys) || fleet_fail "no keys"

FLEET_ACCESS=$(fleet_access "depot:online")
fleet_platform
fleet_standin engine-1 engine --base-gap-us 2000
FLEET_SETTINGS=$keys
FLEET_WEB="\"tls_certificate\": \"$certificate\", \"tls_key\": \"$key\""
fleet_entry entry-1 akl-a akl
FLEET_WEB=
fleet_agent agent-1 akl-a akl claim-desk "$(fleet_address engine-1)"
FLEET_SETTINGS=$("$daemon" --make-keys)
fleet_agent outsider-1 akl-a akl claim-desk "$(fleet_address engine-1)"
FLEET_SETTINGS=
fleet_agent outsider-2 akl-a akl claim-desk "$(fleet_address engine-1)"
fleet_publish

base=https://$(fleet_word entry-1 web)
body='{"prompt":"Which receipts are missing?","max_tokens":8,"stream":true}'

# ask VERSION: gets a streamed answer over this version of HTTP.
ask () {
	curl -sN "--http$1" --cacert "$certificate" -o "$FLEET_DIR/answer" \
		-w '%{http_version}' -H "Authorization: Bearer depot" \
		-d "$body" "$base/v1/services/claim-desk/v1/completions" \
		>"$FLEET_DIR/version" &&
		grep -q '^data: \[DONE\]' "$FLEET_DIR/answer"
}

wait_until ask 1.1
test "$(cat "$FLEET_DIR/version")" = 1.1 || fleet_fail "not HTTP/1.1"
cp "$FLEET_DIR/answer" "$FLEET_DIR/first"
ask 2 || fleet_fail "no answer over HTTP/2"
test "$(cat "$FLEET_DIR/version")" = 2 || fleet_fail "not HTTP/2"
cmp "$FLEET_DIR/answer" "$FLEET_DIR/first" || fleet_fail "answers differ"

# A caller that disconnects is noticed over TLS too, and the engine stops.
engine_idle () {
	curl -s "http://$(fleet_address engine-1)/v1/load" |
		grep -q '"running":0,"waiting":0'
}
left () {
	curl -s --cacert "$certificate" "$base/metrics" |
		grep -q "^briarplank_http_callers_left_total $1\$"
}
long='{"prompt":"A long letter","max_tokens":90000,"stream":true}'
callers=$(curl -s --cacert "$certificate" "$base/metrics" |
	sed -n 's/^briarplank_http_callers_left_total //p')
for version in 1.1 2
do
	curl -sN "--http$version" --cacert "$certificate" -m 1 -o /dev/null \
		-H "Authorization: Bearer depot" -d "$long" \
		"$base/v1/services/claim-desk/v1/completions"
	callers=$((callers + 1))
	wait_until left "$callers"
	wait_until engine_idle
done

# The TLS port doesn't answer plain HTTP.
curl -s -m 5 "http://$(fleet_word entry-1 web)/healthz" &&
	fleet_fail "plain HTTP was answered"

# Nodes with other or no keys were refused and received no messages.
received_any () {
	curl -s --cacert "$certificate" "$base/metrics" |
		grep -q '^briarplank_bus_received_total [1-9]'
}
received_any || fleet_fail "the entry received no messages"
for name in outsider-1 outsider-2
do
	curl -s "$(fleet_url $name)/metrics" |
		grep -q '^briarplank_bus_received_total 0$' ||
		fleet_fail "$name received a message"
done

# A check of the settings rejects keys that don't form a pair.
public=$(printf '%s\n' "$keys" |
	sed -n 's/.*"public": "\(.*\)",/\1/p' | sed 's/&/\\&/g')
sed "s|\"secret\": \".*\"|\"secret\": \"$public\"|" \
	"$FLEET_DIR/agent-1.json" >"$FLEET_DIR/bad.json"
"$daemon" --config "$FLEET_DIR/bad.json" --check 2>"$FLEET_DIR/bad.out"
test $? -eq 2 || fleet_fail "invalid keys were accepted"
grep -q 'keys: ' "$FLEET_DIR/bad.out" || fleet_fail "no error for the keys"

for node in entry-1 agent-1 outsider-1 outsider-2
do
	fleet_signal "$node" TERM
done
for node in entry-1 agent-1 outsider-1 outsider-2
do
	fleet_wait "$node" || fleet_fail "$node ended with $?"
done
echo "answers over HTTP/1.1 and HTTP/2 with TLS; outsiders were refused"
