#!/usr/bin/env bash
# Measures what two nodes add to a call, beside direct calls in the same run.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/overhead}
readonly NETWORK=${NETWORK:-127.21}
readonly CATALOGUE=examples/overhead/catalogue.json

rm -rf "$OUT"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment examples/overhead/deployment.json \
	-network "$NETWORK" -out "$OUT/settings" >/dev/null || exit 1
start_all "$OUT" galenacart || exit 1
wait_for $BIN/galenacart-load overhead -catalogue "$CATALOGUE" \
	-targets "$OUT/settings/targets-galenacart.json" -route read-back "$@"
