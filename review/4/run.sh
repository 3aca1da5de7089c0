#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
TROUBLE=${TROUBLE:-1}
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
start_store
start_gateway g1
run_case case-4 "$STORE" "$FRONT" "$READY" "$GATEWAY"
