#!/usr/bin/env bash
# Stops the endpoint and then the node of each VM as planned, one after the
# other, under load, while the platform's list of VMs lags by a minute.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/stops}
readonly NETWORK=${NETWORK:-127.25}
readonly CATALOGUE=examples/dorvakt/catalogue.json
readonly SETTINGS=examples/dorvakt/deployment.json
readonly EXPERIMENT=${EXPERIMENT:-demo/stops-dorvakt.json}
readonly LAG_MS=60000
readonly LINGER_MS=3000 # a leaving endpoint answers for longer than new calls may come
readonly QUIET_SECONDS=5
readonly BACK_SECONDS=2 # for a new process until the next stop

declare -A commands pids # by the name of the process
stops=()

start_one() {
	# The words of a command hold no white space.
	# shellcheck disable=SC2086
	$BIN/${commands[$1]} 2>>"$OUT/events/$1.jsonl" >/dev/null </dev/null &
	pids[$1]=$!
}

# list_as writes the platform's list with one VM in a state. It shows late.
list_as() {
	sed "/\"vm\": \"$1\"/,/\"state\"/ s/\"state\": \"[a-z]*\"/\"state\": \"$2\"/" \
		"$OUT/settings/platform/vms.json" >"$OUT/vms.json"
	$BIN/galenacart-standin change -address "$NETWORK.0.1:7005" -path /admin/keys/vms -file "$OUT/vms.json" || exit 1
}

# stop_one stops a process as planned, notes it and starts it anew.
stop_one() {
	local name=$1 at code
	at=$(date +%s%N)
	kill -TERM "${pids[$name]}"
	wait "${pids[$name]}"
	code=$?
	stops+=("{\"name\":\"$name\",\"atNs\":$at,\"endNs\":$(date +%s%N),\"code\":$code}")
	start_one "$name"
	sleep $BACK_SECONDS
}

rm -rf "$OUT"
mkdir -p "$OUT/events"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
	-drain-linger-ms $LINGER_MS -out "$OUT/settings" >/dev/null || exit 1
vms=()
while read -r name command; do
	commands[$name]=$command
	[[ $name == *-node ]] && vms+=("${name%-node}")
	start_one "$name"
done <"$OUT/settings/processes-galenacart.txt"
$BIN/galenacart-load run -experiment "$EXPERIMENT" -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
	-targets "$OUT/settings/targets-galenacart.json" -label stops -out "$OUT" >"$OUT/report.txt" 2>"$OUT/load.txt" &
load=$!
sleep $QUIET_SECONDS
$BIN/galenacart-standin change -address "$NETWORK.0.1:7005" -path /admin/lag -body "{\"vmListLagMs\":$LAG_MS}" || exit 1
for vm in "${vms[@]}"; do
	list_as "$vm" leaving
	stop_one "$vm-endpoint"
	stop_one "$vm-node"
	list_as "$vm" live
done
wait $load || {
	tail -n 3 "$OUT/load.txt" >&2
	exit 1
}
stop_all
(
	IFS=,
	echo "[${stops[*]}]"
) >"$OUT/stops.json"
$BIN/galenacart-load check-stops -run "$OUT"
