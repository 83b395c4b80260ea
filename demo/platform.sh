#!/usr/bin/env bash
# Lets the platform go down, stale and back to older states under load, with
# changes of the catalogue in between and a node replaced in each state.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/platform}
readonly NETWORK=${NETWORK:-127.26}
readonly CATALOGUE=examples/dorvakt/catalogue.json
readonly SETTINGS=examples/dorvakt/deployment.json
readonly EXPERIMENT=${EXPERIMENT:-demo/platform-dorvakt.json}
readonly STEP_SECONDS=4

declare -A commands pids # by the name of the process
steps=()
edits=0

start_one() {
	# The words of a command hold no white space.
	# shellcheck disable=SC2086
	$BIN/${commands[$1]} 2>>"$OUT/events/$1.jsonl" >/dev/null </dev/null &
	pids[$1]=$!
}

# replace stops a node as planned and starts another in its place.
replace() {
	kill -TERM "${pids[$1-node]}"
	wait "${pids[$1-node]}"
	start_one "$1-node"
}

admin() {
	$BIN/galenacart-standin change -address "$NETWORK.0.1:7005" -path "/admin/$1" "${@:2}" || exit 1
}

mode() {
	admin mode -body "$1"
}

# edit puts another catalogue on the platform.
edit() {
	edits=$((edits + 1))
	sed "s/\"owner\": \"repair desk/&, edit $edits/" "$OUT/settings/platform/catalogue.json" >"$OUT/edited.json"
	admin keys/catalogue -file "$OUT/edited.json"
}

# step notes what begins, and whether every node has to show a newer revision.
step() {
	steps+=("{\"name\":\"$1\",\"atNs\":$(date +%s%N),\"shows\":$2}")
}

rm -rf "$OUT"
mkdir -p "$OUT/events"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
	-out "$OUT/settings" >/dev/null || exit 1
while read -r name command; do
	commands[$name]=$command
	start_one "$name"
done <"$OUT/settings/processes-galenacart.txt"
$BIN/galenacart-load run -experiment "$EXPERIMENT" -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
	-targets "$OUT/settings/targets-galenacart.json" -label platform -out "$OUT" >"$OUT/report.txt" 2>"$OUT/load.txt" &
load=$!
sleep $STEP_SECONDS

step "change" true
edit
sleep $STEP_SECONDS
step "down" false
mode '{"mode":"down"}'
edit
replace stock-1
sleep $STEP_SECONDS
step "up again" true
mode '{"mode":"up"}'
sleep $((2 * STEP_SECONDS))
step "stale" false
mode '{"mode":"stale"}'
edit
replace stock-2
sleep $STEP_SECONDS
step "no longer stale" true
mode '{"mode":"up"}'
sleep $STEP_SECONDS
step "back to an older state" false
mode '{"mode":"rollback","revisions":2}'
replace stock-3
sleep $STEP_SECONDS
step "back for good, revisions used again" false
mode '{"mode":"rollback","revisions":2,"permanent":true}'
edit
replace dispatch-1
sleep $STEP_SECONDS
step "changes beyond the lost ones" true
edit
edit
wait $load || {
	tail -n 3 "$OUT/load.txt" >&2
	exit 1
}
stop_all
(
	IFS=,
	echo "[${steps[*]}]"
) >"$OUT/steps.json"
$BIN/galenacart-load check-platform -catalogue "$CATALOGUE" -deployment "$SETTINGS" -run "$OUT"
