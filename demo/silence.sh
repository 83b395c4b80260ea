#!/usr/bin/env bash
# Makes all open connections of all endpoints go silent at once, beside steady
# load, and compares the whole answers from 1 s later on with those before.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/silence}
readonly NETWORK=${NETWORK:-127.24}
readonly EXPERIMENT=${EXPERIMENT:-demo/silence-dorvakt.json}
# shellcheck source=demo/drill.sh
. demo/drill.sh

lay_out || exit 1
start_all "$OUT" galenacart || exit 1
wait_for play_load || {
	tail -n 3 "$OUT/load.txt" >&2
	exit 1
}
stop_all
check_truth
status=$?
for class in booking lookup; do
	printf '%-52s %10s\n' "whole answers, $class: second of the silence" "$(share silence $class)"
done
shares after 0.99
verdict "check-truth: run twice or wrong not-run" "$status" '<=' 0
exit $missed
