#!/usr/bin/env bash
# Picks failed requests of clients from the captured output of all nodes and counts
# those whose cause `galenacart-ctl why` names. Usage: why-sample.sh FILE [SEED [COUNT]]
set -euo pipefail
cd "$(dirname "$0")/.."
captured=$1
seed=${2:-1}
count=${3:-20}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/ctl" ./cmd/galenacart-ctl

# IDs of events with one of some numbers.
ids() {
  grep -E "\"event\":($1)," "$captured" | sed -n 's/.*"correlation":"\([^"]*\)".*/\1/p' | sort -u
}
# A client's request is one that an endpoint or node failed and that no endpoint made.
comm -23 <(ids '1001|1011') <(ids '1012|1013') >"$work/failed"
awk -v seed="$seed" 'BEGIN { srand(seed) } { print rand() "\t" $0 }' "$work/failed" | sort -g | awk -F "\t" -v count="$count" 'NR <= count { print $2 }' >"$work/picked"

named=0
while read -r id; do
  "$work/ctl" why -captured "$captured" "$id" >"$work/why" || true
  if grep -qE 'detail=|it failed by itself' "$work/why"; then
    named=$((named + 1))
  else
    printf 'not named: %s\n' "$id"
    cat "$work/why"
  fi
done <"$work/picked"
held=$( (grep -o '"name":"lines_held_back".*' "$captured" || true) | sed 's/.*"count":\([0-9]*\).*/\1/' | awk '{ n += $1 } END { print n + 0 }')
printf 'named: %d of %d, out of %d failed requests with events; lines held back: %d\n' \
  "$named" "$(wc -l <"$work/picked")" "$(wc -l <"$work/failed")" "$held"
