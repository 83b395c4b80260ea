#!/usr/bin/env bash
# Shows one overload of the Dørvakt deployment twice: with galenacart, and with
# endpoints that call each other.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly DEPLOYMENT=${DEPLOYMENT:-dorvakt}
readonly EXPERIMENT=${EXPERIMENT:-demo/overload-$DEPLOYMENT.json}
readonly OUT=${OUT:-out/demo}
readonly DEMO_SECONDS_MAX=90
readonly NETWORK=${NETWORK:-127.20}
readonly CATALOGUE=examples/$DEPLOYMENT/catalogue.json
readonly SETTINGS=examples/$DEPLOYMENT/deployment.json

# load plays the experiment against the processes of a mode.
load() {
	local mode=$1
	wait_for $BIN/galenacart-load run -experiment "$EXPERIMENT" -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
		-targets "$OUT/settings/targets-$mode.json" -out "$OUT/$mode" >"$OUT/$mode/report.txt"
}

# check adds what the endpoints' own logs say to the report of a mode, by one of
# the commands check-truth and check-order.
check() {
	local mode=$1 what=$2
	shift 2
	$BIN/galenacart-load "check-$what" "$@" -answers "$OUT/$mode/answers.jsonl" -report "$OUT/$mode/report.json" \
		"$OUT"/settings/*/truth-"$mode".jsonl >"$OUT/$mode/$what.txt" 2>&1 ||
		echo "demo: mode $mode: $(tail -n 1 "$OUT/$mode/$what.txt")"
}

play() {
	local mode=$1
	start_all "$OUT" "$mode" || exit 1
	load "$mode" || {
		echo "demo: the run in mode $mode failed; see $OUT/$mode" >&2
		exit 1
	}
	check_running "$OUT/$mode/events" || exit 1
	stop_all
	check "$mode" truth
	check "$mode" order -catalogue "$CATALOGUE" -deployment "$SETTINGS"
}

# timeline merges the events of all processes of a mode into one page.
timeline() {
	local mode=$1
	wait_for $BIN/galenacart-ctl timeline -html "$OUT/$mode/timeline.html" "$OUT/$mode"/events/*.jsonl \
		"$OUT/$mode/load-events.jsonl" >"$OUT/$mode/timeline.log" 2>&1 ||
		echo "demo: no time line of mode $mode; see $OUT/$mode/timeline.log" >&2
}

# time_verdict compares the time with the bound of make demo, which plays the
# defaults.
time_verdict() {
	[[ $EXPERIMENT == demo/overload-dorvakt.json && -z ${MODES:-} ]] || return
	((SECONDS <= DEMO_SECONDS_MAX)) && echo " (bound $DEMO_SECONDS_MAX s: met)" || echo " (bound $DEMO_SECONDS_MAX s: missed)"
}

rm -rf "$OUT"
mkdir -p "$OUT"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
	-out "$OUT/settings" >/dev/null || exit 1
for mode in ${MODES:-galenacart direct}; do
	play "$mode"
	timeline "$mode"
	reports+=("$OUT/$mode/report.json")
done
$BIN/galenacart-load compare -plot "$OUT/plot.svg" -plot "$OUT/plot.png" "${reports[@]}"
echo "time without the build: $SECONDS s$(time_verdict)"
echo "plot: $OUT/plot.svg; reports, events and endpoints' logs: $OUT"
