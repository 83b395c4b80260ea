#!/usr/bin/env bash
# Plays the demo's experiment several times in one mode and prints the spread.
# repeat.sh [RUNS [MODE]]; the variables of run.sh apply.
set -uo pipefail
cd "$(dirname "$0")/.."
STOP_SECONDS=20 # run.sh takes up to 10 to end its own processes
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly RUNS=${1:-5}
readonly OUT=${OUT:-out/repeat}
export MODES=${2:-galenacart}

mkdir -p "$OUT"
reports=()
for ((run = 1; run <= RUNS; run++)); do
	wait_for env OUT="$OUT/$run" demo/run.sh >"$OUT/$run.txt" 2>&1 || {
		tail -n 5 "$OUT/$run.txt" >&2
		exit 1
	}
	reports+=("$OUT/$run/$MODES/report.json")
done
$BIN/galenacart-load compare -spread "${reports[@]}"
