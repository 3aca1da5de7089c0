# briarplankd --check prints each error with file and line and exits with 2. The
# role on the command line decides which settings are required.
daemon=${BUILD:-build}/briarplankd/briarplankd
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir" || exit 1
case "$daemon" in
/*) ;;
*) daemon=$OLDPWD/$daemon ;;
esac

check () {
	expected=$1
	shift
	"$daemon" --check "$@" >out 2>&1
	status=$?
	if test "$status" -ne "$expected"
	then
		echo "FAILED: exit status $status, not $expected: $*"
		cat out
		exit 1
	fi
}

prints () {
	cat >expected
	diff expected out || exit 1
}

cat >gateway.json <<'EOF'
{
	// A gateway.
	"node": { "name": "g", "ip": "10.0.0.1", "port": "7660",
		  "data_centre": "a", "region": "r" },
	"data_centres": [ { "name": "a" } ],
	"listen": { "front": "10.0.0.1:80", "ready": "10.0.0.1",
		    "metrics": "10.0.0.1:81" },
	"store": { "address": "10.0.9.1:80", "retention_s": true },
	"other": 1
}
EOF
check 2 --role gateway --config gateway.json
prints <<'EOF'
gateway.json:9: other is not a known key
gateway.json:3: node.port must be a whole number
gateway.json:5: data_centres[0].region is missing
gateway.json:6: listen.ready must be a numeric IP address with a port, not "10.0.0.1"
gateway.json:8: store.retention_s must be a number of seconds
EOF

cat >elsewhere.json <<'EOF'
{
	"node": { "name": "g", "ip": "10.0.0.1", "port": 7660,
		  "data_centre": "b", "region": "r" },
	"data_centres": [ { "name": "a", "region": "r" } ],
	"listen": { "front": "10.0.0.1:80", "ready": "10.0.0.1:82",
		    "metrics": "10.0.0.1:81" },
	"store": { "address": "10.0.9.1:80" }
}
EOF
check 2 --role gateway --config elsewhere.json
prints <<'EOF'
elsewhere.json:3: node.data_centre b is not among data_centres
EOF
sed 's/"b"/"a"/' elsewhere.json >good.json
check 0 --role gateway --config good.json

cat >entry.json <<'EOF'
{
	// An entry.
	"node": { "name": "e", "role": "entry", "data_centre": "a",
		  "region": "r", "bus": "127.0.0.1:0" },
	"access": [
		{ "name": "ann", "key_sha256": "12" }
	],
	"keys": { "public": "x" }
}
EOF
check 2 --config entry.json
prints <<'EOF'
entry.json:1: web.listen: is required for an entry
entry.json:8: keys: keys.public and keys.secret must be set together
entry.json:6: access[0].key_sha256: must be 64 hexadecimal digits
EOF
check 2 --config entry.json --role agent
prints <<'EOF'
entry.json:1: server.service: is required for an agent
entry.json:1: server.address: is required for an agent
entry.json:8: keys: keys.public and keys.secret must be set together
entry.json:6: access[0].key_sha256: must be 64 hexadecimal digits
EOF
check 2 --config entry.json --role owner
prints <<'EOF'
briarplankd: no such role: owner
EOF
check 2 --config missing.json
check 2

sed -e '/"access"/,/\],/d' -e 's/"keys.*/"web": { "listen": "[::1]:0" }/' \
	entry.json >good.json
check 0 --config good.json
prints </dev/null
echo "errors are printed with their lines; a valid file exits with 0"
