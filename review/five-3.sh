#!/bin/sh
# Runs a case of review/11 to 15 without its disruption once and with it five times, and
# prints the exit statuses: review/five-3.sh N
cd "$(dirname "$0")/.." || exit 2
out=$(mktemp) || exit 2
trap 'rm -f "$out"' EXIT
TROUBLE=0 sh "review/$1/run.sh" >/dev/null 2>&1
echo "case $1 without trouble: $?"
for i in 1 2 3 4 5
do
	sh "review/$1/run.sh" >"$out" 2>&1
	echo "case $1 run $i: $? $(tail -n 1 "$out")"
done
