#!/bin/sh
# Builds the stand-ins of the cases: the project's own one for the platform's store, and
# the programs in review/. Runs after the build of deploy/system.toml, without a network.
set -e
cd "$(dirname "$0")/.."

test -d target/review ||
	meson setup target/review --buildtype=release -Dtests=true
ninja -C target/review tests/standin/standin
for source in review/[1-5]/case.c
do
	number=$(basename "$(dirname "$source")")
	cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra \
		-o "target/review/case-$number" "$source" \
		review/harness/harness.c -lpthread
done
