# The build command of the deploy file must build a clean checkout and write
# only below target/, and the program must accept settings from the template.
set -e
top=$(pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
git clone -q "$top" "$dir/checkout"
cd "$dir/checkout"
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" >"$dir/log" 2>&1 || {
	tail -n 20 "$dir/log"
	echo "FAILED: the build"
	exit 1
}
test -z "$(git status --porcelain --ignored | grep -v '^!! target/$')" || {
	echo "FAILED: the build wrote files outside target/"
	exit 1
}

# fill_in SECTIONS: fills in the template as the platform does, with the expression that
# handles the section of deployments with client accounts.
fill_in () {
	sed -e "$1" -e 's/{{NodeName|json}}/"front-1"/; s/{{Ip|json}}/"10.0.0.1"/' \
		-e 's/{{PortRange.0}}/7660/; s/{{Zone|json}}/"a"/' \
	-e 's/{{Region|json}}/"r"/; /{{#Zones}}/d; /{{\/Zones}}/d' \
	-e 's/{{@}}/a/; s/{{.}}/r/; s/{{,}}//' \
	-e 's/{{Listen.Front|json}}/"10.0.0.1:80"/' \
	-e 's/{{Listen.Ready|json}}/"10.0.0.1:81"/; s/{{Ip}}/10.0.0.1/' \
	-e 's/{{Provider.Address|json}}/"10.0.9.1:80"/' \
	-e 's/{{Provider.parts}}/12/; s/{{Provider.RecordBytes}}/262144/' \
	-e 's/{{Provider.ReadsPerS}}/2000/' \
	-e 's/{{Provider.CallBytes}}/2097152/; s/{{Provider.RetentionS}}/300/' \
	-e 's/{{Bounds.GraceS}}/8/; s/{{Bounds.StatusS}}/120/' \
	-e 's/{{Limits.CpuShare}}/0.5/; s/{{Limits.MemoryMb}}/290/; s/{{Limits.MaxFds}}/8200/' \
	deploy/gateway.json >"$dir/settings.json"
	! grep -n '{{' "$dir/settings.json" || {
		echo "FAILED: the template has a field that this test doesn't fill in"
		exit 1
	}
	# shellcheck disable=SC2086
	BRIARPLANK_SETTINGS="$dir/settings.json" $run --check
}

run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
fill_in '/{{.Bounds.QuotaWindowS}}/d'
grep -q hold_s "$dir/settings.json"
fill_in '/{{#Bounds.QuotaWindowS}}/,/{{.Bounds.QuotaWindowS}}/d'
! grep -q hold_s "$dir/settings.json"
echo "built and checked"
