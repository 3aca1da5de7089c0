#!/bin/sh
# Runs the script of a case five times with and once without its disruption, and prints the
# exit statuses and the last lines of the records.
for try in 1 2 3 4 5
do
	"$1/run.sh"
	echo "run $try: exit $? $(tail -n 1 "$1/record.txt")"
done
cp "$1/record.txt" "$1/record.kept"
TROUBLE=0 "$1/run.sh"
echo "TROUBLE=0: exit $? $(tail -n 1 "$1/record.txt")"
mv "$1/record.kept" "$1/record.txt"
