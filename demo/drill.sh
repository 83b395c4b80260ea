# What the drills have in common: a layout of Dørvakt with galenacart, load
# beside a fault, and the share of whole answers by phase. Sourced after
# processes.sh by scripts that set OUT, NETWORK and EXPERIMENT.

readonly CATALOGUE=examples/dorvakt/catalogue.json
readonly SETTINGS=examples/dorvakt/deployment.json

lay_out() {
	rm -rf "$OUT"
	mkdir -p "$OUT/events"
	$BIN/galenacart-load layout -catalogue "$CATALOGUE" -deployment "$SETTINGS" -network "$NETWORK" \
		-out "$OUT/settings" >/dev/null
}

play_load() {
	$BIN/galenacart-load run -experiment "$EXPERIMENT" -catalogue "$CATALOGUE" -deployment "$SETTINGS" \
		-targets "$OUT/settings/targets-galenacart.json" -out "$OUT" >"$OUT/report.txt" 2>"$OUT/load.txt"
}

# check_truth compares what callers were told with what endpoints did.
check_truth() {
	$BIN/galenacart-load check-truth -answers "$OUT/answers.jsonl" -report "$OUT/report.json" \
		"$OUT"/settings/*/truth-galenacart.jsonl >"$OUT/truth.txt" 2>&1
}

# share prints the share of whole answers in a phase, of a class or of all.
share() {
	$BIN/galenacart-load compare "$OUT/report.json" | awk -v phase="$1" -v class="${2:-}" '
		$1 == phase && (class == "" || $2 == class) { offered += $4; good += $5 }
		END { printf "%.4f\n", offered ? good / offered : 0 }'
}

# shares compares the whole answers of a phase with those before, by class.
shares() {
	local phase=$1 bound=$2 class before
	for class in booking lookup; do
		before=$(share before $class)
		verdict "whole answers, $class: $phase over before ($before)" \
			"$(awk -v a="$(share "$phase" $class)" -v b="$before" 'BEGIN { printf "%.4f", b ? a / b : 0 }')" '>=' "$bound"
	done
}

# verdict prints one row of the table and remembers a miss.
missed=0
verdict() {
	local text=$1 have=$2 relation=$3 bound=$4 word=ok
	awk -v h="$have" -v r="$relation" -v b="$bound" 'BEGIN { exit !(r == "<=" ? h + 0 <= b + 0 : h + 0 >= b + 0) }' || {
		word=MISSED
		missed=1
	}
	printf '%-52s %10s  %s %-6s %s\n' "$text" "$have" "$relation" "$bound" "$word"
}
