#!/bin/sh
# Builds the stand-ins and the cases of the second review, in build-review-2. They need a C
# compiler and the C library only; the cases start the build of the deploy file.
set -e
cd "$(dirname "$0")/.."

out=build-review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -Wno-format-truncation -D_GNU_SOURCE -pthread -Ireview/harness-2"
# Words of the flags.
# shellcheck disable=SC2086
${CC:-cc} $flags -o "$out/worker" review/harness-2/worker.c review/harness-2/http.c
for case in review/[0-9]*/rig-case.c
do
	name=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2086
	${CC:-cc} $flags -o "$out/case-$name" "$case" review/harness-2/rig.c \
		review/harness-2/store.c review/harness-2/http.c
done
