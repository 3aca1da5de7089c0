# Guards against bytes that are no answer of an entry being shown to an operator as one,
# and against a client that reads bytes without end.
. tests/fleet/fleet.sh
fleet_begin

JSON='{"message":"done","rows":[]}'
# Exit status of briarplankctl when no entry answered.
NOT_REACHED=3
# Time in which a command ends whose attempts all get bytes without end, in s.
TIME_S=30

fleet_standin raw raw

# ask THEN BYTES: runs a command at a peer that answers with the bytes; prints the exit
# status.
ask () {
	address=$(fleet_raw_peer "$1" "$2")
	code=0
	timeout $TIME_S "$BUILD/briarplankctl/briarplankctl" -e "http://$address" \
		'show members' >"$FLEET_DIR/out" 2>"$FLEET_DIR/err" || code=$?
	echo $code
}

# broken NAME THEN BYTES: the bytes are no answer.
broken () {
	expect "$1" "$(ask "$2" "$3")" $NOT_REACHED
	grep -q 'no answer arrived' "$FLEET_DIR/err" ||
		fleet_fail "$1: $(cat "$FLEET_DIR/err")"
}

expect sound "$(ask close "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n$JSON")" 0
broken status-0 close "HTTP/1.1 000 \r\nContent-Length: 28\r\n\r\n$JSON"
broken status-600 close "HTTP/1.1 600 Odd\r\nContent-Length: 28\r\n\r\n$JSON"
broken field-name close "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 28\r\n\r\n$JSON"
broken length close "HTTP/1.1 200 OK\r\nContent-Length: 28x\r\n\r\n$JSON"
broken coding close "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n$JSON"
broken cut-head close "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
broken cut-at-end close "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\r"
broken reset reset "HTTP/1.1 200 OK\r\n\r\n$JSON"
broken endless-head repeat "HTTP/1.1 200 OK\r\nX-More: more\r\n"
broken endless-field repeat "HTTP/1.1 200 OK\r\nX-More: more"
broken endless-body repeat "HTTP/1.1 200 OK\r\n\r\nmore\r\n"
