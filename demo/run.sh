#!/usr/bin/env bash
# Shows one overload of the Dørvakt deployment twice: with galenacart, and with
# endpoints that call each other. Every process that it starts ends with it.
set -uo pipefail
cd "$(dirname "$0")/.."

readonly DEPLOYMENT=${DEPLOYMENT:-dorvakt}
readonly EXPERIMENT=${EXPERIMENT:-demo/overload.json}
readonly OUT=${OUT:-out/demo}
readonly NETWORK=${NETWORK:-127.20}
readonly BIN=bin
readonly CATALOGUE=examples/$DEPLOYMENT/catalogue.json
readonly SETTINGS=examples/$DEPLOYMENT/deployment.json
readonly STOP_SECONDS=10

# stop_all ends the processes that this script started and that still run, by
# their process IDs.
stop_all() {
	local running tenths=0
	running=$(jobs -pr)
	[[ -n $running ]] || return 0
	# The list is split into its process IDs.
	# shellcheck disable=SC2086
	kill -TERM $running 2>/dev/null
	while [[ -n $(jobs -pr) ]] && ((tenths < STOP_SECONDS * 10)); do
		sleep 0.1
		tenths=$((tenths + 1))
	done
	running=$(jobs -pr)
	if [[ -n $running ]]; then
		echo "demo: killed after $STOP_SECONDS s: $running" >&2
		# shellcheck disable=SC2086
		kill -KILL $running 2>/dev/null
	fi
	wait
}

# start_all starts every process of a mode. Its events go to a file of its own.
start_all() {
	local mode=$1 name command
	mkdir -p "$OUT/$mode/events"
	while read -r name command; do
		# The words of a command hold no white space.
		# shellcheck disable=SC2086
		$BIN/$command 2>"$OUT/$mode/events/$name.jsonl" >/dev/null </dev/null &
	done <"$OUT/settings/processes-$mode.txt"
}

# load plays the experiment. It runs in the background, so that a signal to
# this script is handled at once.
load() {
	local mode=$1
	$BIN/galenacart-load run -experiment "$EXPERIMENT" -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
		-targets "$OUT/settings/targets-$mode.json" -out "$OUT/$mode" >"$OUT/$mode/report.txt" &
	wait $!
}

# check adds what the endpoints' own logs say to the report of a mode.
check() {
	local mode=$1
	$BIN/galenacart-load check-truth -answers "$OUT/$mode/answers.jsonl" -report "$OUT/$mode/report.json" \
		"$OUT"/settings/*/truth-"$mode".jsonl >"$OUT/$mode/truth.txt" 2>&1
}

play() {
	local mode=$1
	start_all "$mode"
	load "$mode" || {
		echo "demo: the run in mode $mode failed; see $OUT/$mode" >&2
		exit 1
	}
	stop_all
	check "$mode" || echo "demo: mode $mode: $(tail -n 1 "$OUT/$mode/truth.txt")"
}

trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
trap 'exit 129' HUP

rm -rf "$OUT"
mkdir -p "$OUT"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
	-out "$OUT/settings" >/dev/null || exit 1
for mode in ${MODES:-galenacart direct}; do
	play "$mode"
	reports+=("$OUT/$mode/report.json")
done
$BIN/galenacart-load compare -plot "$OUT/plot.svg" -plot "$OUT/plot.png" "${reports[@]}"
