#!/usr/bin/env bash
# Kills, freezes and stops random nodes and endpoints of the Dørvakt deployment
# under booking load, then compares what callers were told with what endpoints
# ran. Fails when a booking ran twice or was told not run although it ran.
set -uo pipefail
cd "$(dirname "$0")/.."

readonly OUT=${OUT:-out/chaos}
readonly NETWORK=${NETWORK:-127.40}
readonly SEED=${SEED:-1}
readonly ACTIONS=${ACTIONS:-kill freeze stop}
readonly ROUNDS=${ROUNDS:-30}
# PLAN names what to do instead of random choices: "action:process" words.
read -ra plan <<<"${PLAN:-}"
readonly PAUSE_SECONDS=2
readonly FREEZE_SECONDS=${FREEZE_SECONDS:-30}
readonly BEFORE_SECONDS=8
readonly BIN=bin
readonly EXPERIMENT=demo/chaos.json
readonly CATALOGUE=examples/dorvakt/catalogue.json
readonly DEPLOYMENT=examples/dorvakt/deployment.json
readonly STOP_SECONDS=10

RANDOM=$SEED
declare -A pid_of=() command_of=() frozen_until=()
names=()
load_pid=

# stop_all ends the processes that this script started, by their process IDs.
stop_all() {
	local name
	[[ -n $load_pid ]] && kill -TERM "$load_pid" 2>/dev/null
	for name in "${!pid_of[@]}"; do
		kill -CONT "${pid_of[$name]}" 2>/dev/null
		kill -TERM "${pid_of[$name]}" 2>/dev/null
	done
	local waited=0
	while ((waited < STOP_SECONDS * 10)) && [[ -n $(jobs -pr) ]]; do
		sleep 0.1
		waited=$((waited + 1))
	done
	for name in "${!pid_of[@]}"; do
		kill -KILL "${pid_of[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	pid_of=()
}

start() {
	local name=$1
	# The words of a command hold no white space.
	# shellcheck disable=SC2086
	$BIN/${command_of[$name]} 2>>"$OUT/events/$name.jsonl" >/dev/null </dev/null &
	pid_of[$name]=$!
}

# thaw lets processes go on whose freeze is over.
thaw() {
	local name
	for name in "${!frozen_until[@]}"; do
		((SECONDS < frozen_until[$name])) && continue
		kill -CONT "${pid_of[$name]}" 2>/dev/null
		echo "$SECONDS thaw $name" >>"$OUT/actions.txt"
		unset "frozen_until[$name]"
	done
}

# harm does the next thing of the plan, or one random thing to one random process.
harm() {
	local choices=($ACTIONS) name action
	if [[ -n ${PLAN:-} ]]; then
		((round < ${#plan[@]})) || return
		action=${plan[round]%%:*}
		name=${plan[round]#*:}
	else
		name=${names[RANDOM % ${#names[@]}]}
		action=${choices[RANDOM % ${#choices[@]}]}
	fi
	[[ -n ${frozen_until[$name]:-} ]] && return
	echo "$SECONDS $action $name" >>"$OUT/actions.txt"
	case $action in
	kill)
		kill -KILL "${pid_of[$name]}" 2>/dev/null
		wait "${pid_of[$name]}" 2>/dev/null
		start "$name"
		;;
	freeze)
		kill -STOP "${pid_of[$name]}" 2>/dev/null
		frozen_until[$name]=$((SECONDS + FREEZE_SECONDS))
		;;
	stop)
		kill -TERM "${pid_of[$name]}" 2>/dev/null
		wait "${pid_of[$name]}" 2>/dev/null
		echo "$SECONDS stopped $name with code $?" >>"$OUT/actions.txt"
		start "$name"
		;;
	esac
}

trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

rm -rf "$OUT"
mkdir -p "$OUT/events" "$OUT/load"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$DEPLOYMENT" -network "$NETWORK" \
	-out "$OUT/settings" >/dev/null || exit 1
while read -r name command; do
	command_of[$name]=$command
	[[ $name == platform ]] || names+=("$name")
	start "$name"
done <"$OUT/settings/processes-galenacart.txt"

$BIN/galenacart-load run -experiment "$EXPERIMENT" -catalogue "$CATALOGUE" -deployment "$DEPLOYMENT" \
	-targets "$OUT/settings/targets-galenacart.json" -out "$OUT/load" >"$OUT/load/report.txt" 2>"$OUT/load/progress.txt" &
load_pid=$!
sleep "$BEFORE_SECONDS"
for ((round = 0; round < ROUNDS; round++)); do
	thaw
	harm
	sleep "$PAUSE_SECONDS"
done
for name in "${!frozen_until[@]}"; do
	frozen_until[$name]=0
done
thaw
wait "$load_pid"
load_pid=
stop_all
$BIN/galenacart-load check-truth -answers "$OUT/load/answers.jsonl" -report "$OUT/load/report.json" \
	"$OUT"/settings/*/truth-galenacart.jsonl | tee "$OUT/truth.txt"
verdict=${PIPESTATUS[0]}
cat "$OUT/load/report.txt"
exit "$verdict"
