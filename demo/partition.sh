#!/usr/bin/env bash
# Cuts one availability zone off from the others and from the platform, twice
# and in both ways, with a catalogue change during each cut, and holds what
# every side gave against its bounds.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/partition}
readonly NETWORK=${NETWORK:-127.24}
readonly CUTS=${CUTS:-bergen:blackhole stord:reset}
readonly CATALOGUE=examples/dorvakt/catalogue.json
readonly SETTINGS=examples/dorvakt/deployment.json
readonly EXPERIMENT=${EXPERIMENT:-demo/partition-dorvakt.json}
readonly ZONES="bergen stord vestland-north"
readonly QUIET_SECONDS=10
readonly CUT_SECONDS=20
readonly CHANGE_SECONDS=8 # after the cut

# change sends a change to a stand-in's admin listener.
change() {
	$BIN/galenacart-standin change -address "$1" -path "$2" "${@:3}" || exit 1
}

# cut sets the zones that the relay cuts off.
cut() {
	change "$NETWORK.100.1:7005" /admin/cut -body "{\"availabilityZones\":[$1],\"mode\":\"$2\"}"
}

# part plays one cut and notes it.
part() {
	local zone=${1%%:*} mode=${1##*:} from to
	from=$(date +%s%N)
	cut "\"$zone\"" "$mode"
	sleep $CHANGE_SECONDS
	sed "s/\"owner\": \"repair desk/&, edited during the cut of $zone/" \
		"$OUT/settings/platform/catalogue.json" >"$OUT/edited.json"
	change "$NETWORK.0.1:7005" /admin/keys/catalogue -file "$OUT/edited.json"
	sleep $((CUT_SECONDS - CHANGE_SECONDS))
	to=$(date +%s%N)
	cut "" "$mode"
	cuts+=("{\"availabilityZone\":\"$zone\",\"mode\":\"$mode\",\"fromNs\":$from,\"toNs\":$to}")
}

rm -rf "$OUT"
mkdir -p "$OUT"
$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
	-relay -out "$OUT/settings" >/dev/null || exit 1
start_all "$OUT" galenacart || exit 1
ln -s galenacart/events "$OUT/events"

loads=()
seed=0
for zone in $ZONES; do
	mkdir -p "$OUT/$zone"
	seed=$((seed + 1))
	sed "s/\"seed\": 1/\"seed\": $seed/" "$EXPERIMENT" >"$OUT/$zone/experiment.json"
	$BIN/galenacart-load run -experiment "$OUT/$zone/experiment.json" -catalogue "$CATALOGUE" \
		-deployment "$SETTINGS" -targets "$OUT/settings/targets-zone-$zone.json" -label "$zone" \
		-out "$OUT/$zone" >"$OUT/$zone/report.txt" 2>"$OUT/$zone/load.txt" &
	loads+=($!)
done

cuts=()
sleep $QUIET_SECONDS
for one in $CUTS; do
	part "$one"
	sleep $QUIET_SECONDS
done
for load in "${loads[@]}"; do
	wait "$load" || {
		tail -n 3 "$OUT"/*/load.txt >&2
		exit 1
	}
done
stop_all
(
	IFS=,
	echo "[${cuts[*]}]"
) >"$OUT/cuts.json"
$BIN/galenacart-load check-partition -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
	-experiment "$EXPERIMENT" -run "$OUT"
