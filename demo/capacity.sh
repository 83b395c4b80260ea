#!/usr/bin/env bash
# Measures fleets of real nodes on loopback addresses, prints what follows for a
# fleet of the planned size, and writes it as JSON. All processes end with it.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/capacity}

rm -rf "$OUT"
mkdir -p "$OUT"
wait_for $BIN/galenacart-load capacity -measure -out "$OUT" "$@" >"$OUT/report.txt" || exit 1
$BIN/galenacart-load capacity -in "$OUT/measured.json" -json >"$OUT/report.json" || exit 1
cat "$OUT/report.txt"
echo "measurement and report: $OUT"
