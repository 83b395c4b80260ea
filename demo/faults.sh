#!/usr/bin/env bash
# Plays bookings with callers that resend hard while nodes and endpoints are
# killed, frozen and stopped at random, one every two seconds, and compares
# what callers were told with what endpoints did.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/faults}
readonly NETWORK=${NETWORK:-127.22}
readonly SEED=${SEED:-1}
readonly FAULTS=${FAULTS:-kill freeze stop}
readonly CATALOGUE=examples/dorvakt/catalogue.json
readonly SETTINGS=examples/dorvakt/deployment.json
readonly QUIET_SECONDS=6
readonly FAULT_SECONDS=2
readonly FAULT_COUNT=28
readonly RESTART_SECONDS=1
readonly FREEZE_SECONDS=30

declare -A commands # by the name of the process
declare -A pids     # by the name of the process
declare -A frozen   # the number of the fault that ends it, by the name
names=()            # of nodes and endpoints

start_one() {
	local name=$1
	# The words of a command hold no white space.
	# shellcheck disable=SC2086
	$BIN/${commands[$name]} 2>>"$OUT/events/$name.jsonl" >/dev/null </dev/null &
	pids[$name]=$!
}

note() {
	echo "$(date -u +%H:%M:%S.%3N) $*" >>"$OUT/faults.txt"
}

# thaw lets the processes go on whose time is over; all of them at the end.
thaw() {
	local now=$1 name
	for name in "${!frozen[@]}"; do
		if ((now >= frozen[$name])); then
			kill -CONT "${pids[$name]}"
			note "thaw $name"
			unset "frozen[$name]"
		fi
	done
}

# fault makes one fault at a process that runs and is not frozen.
fault() {
	local number=$1 kinds name kind
	read -ra kinds <<<"$FAULTS"
	kind=${kinds[RANDOM % ${#kinds[@]}]}
	name=${names[RANDOM % ${#names[@]}]}
	while [[ -n ${frozen[$name]:-} ]]; do
		name=${names[RANDOM % ${#names[@]}]}
	done
	note "$kind $name"
	case $kind in
	kill) kill -KILL "${pids[$name]}" ;;
	stop) kill -TERM "${pids[$name]}" ;;
	freeze)
		kill -STOP "${pids[$name]}"
		frozen[$name]=$((number + FREEZE_SECONDS / FAULT_SECONDS))
		return
		;;
	esac
	wait "${pids[$name]}" 2>/dev/null
	note "ended $name with $?"
	sleep $RESTART_SECONDS
	start_one "$name"
}

# finish replaces that of processes.sh: a frozen process can't end.
finish() {
	trap '' INT TERM HUP
	thaw 1000000
	stop_all
}

rm -rf "$OUT"
mkdir -p "$OUT/events"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
	-out "$OUT/settings" >/dev/null || exit 1
while read -r name command; do
	commands[$name]=$command
	[[ $name == platform ]] || names+=("$name")
	start_one "$name"
done <"$OUT/settings/processes-galenacart.txt"

$BIN/galenacart-load run -experiment demo/faults-dorvakt.json -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
	-targets "$OUT/settings/targets-galenacart.json" -label faults -out "$OUT" >"$OUT/report.txt" 2>"$OUT/load.txt" &
load=$!
sleep $QUIET_SECONDS
RANDOM=$SEED
for ((number = 1; number <= FAULT_COUNT; number++)); do
	begun=$SECONDS
	thaw "$number"
	fault "$number"
	while ((SECONDS - begun < FAULT_SECONDS)); do
		sleep 0.1
	done
done
thaw 1000000
wait $load || {
	tail -n 3 "$OUT/load.txt" >&2
	exit 1
}
stop_all
$BIN/galenacart-load check-truth -answers "$OUT/answers.jsonl" -report "$OUT/report.json" \
	"$OUT"/settings/*/truth-galenacart.jsonl >"$OUT/truth.txt" 2>&1
status=$?
$BIN/galenacart-load compare "$OUT/report.json"
cat "$OUT/truth.txt"
exit $status
