# Guards against signals of a test to a process that is not its own, as the kernel gives
# the id of one that has been waited for to another.
. tests/fleet/fleet.sh
fleet_begin

fleet_spawn other sleep 60
# Another test, in which the id of a process that has ended is that of "other".
got=$(sh -c '. tests/fleet/fleet.sh
	fleet_begin
	fleet_spawn gone true
	fleet_wait gone
	FLEET_PIDS=$1
	echo "$1" >"$FLEET_DIR/gone.pid"
	fleet_runs gone && echo "reused id runs"
	fleet_signal gone TERM && echo "reused id signalled"
	fleet_spawn child sleep 60
	fleet_runs child && echo "child runs"
	fleet_signal child TERM && echo "child signalled"
	fleet_wait child
	fleet_runs child || echo "child ended"' sh "$(fleet_pid other)") ||
	fleet_fail "the script ended with $?"
expect "script" "$(echo "$got" | paste -s -d, -)" "child runs,child signalled,child ended"
fleet_runs other || fleet_fail "the process of another test was ended"
