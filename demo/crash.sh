#!/usr/bin/env bash
# Sends one request that crashes each endpoint that runs it 100 times, through
# all nodes one after the other, beside steady load. Endpoints that crash are
# started again, as a supervisor would.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=demo/processes.sh
. demo/processes.sh

readonly OUT=${OUT:-out/crash}
readonly NETWORK=${NETWORK:-127.23}
readonly EXPERIMENT=${EXPERIMENT:-demo/crash-dorvakt.json}
readonly METHOD=${METHOD:-GET} # POST sends a booking
readonly CRASHED_SERVICE=${CRASHED_SERVICE:-stock}
readonly SENDS=100
readonly SEND_SECONDS=3
readonly QUIET_SECONDS=16 # the phase "during" has begun then
readonly RESTART_SECONDS=1
readonly CRASHED=70 # exit code of a stand-in that crashed
# shellcheck source=demo/drill.sh
. demo/drill.sh

# supervise runs a process and starts it again whenever it crashes.
supervise() {
	local name=$1 command=$2 pid='' status stopping=0
	trap 'stopping=1; [[ -z $pid ]] || kill -TERM "$pid" 2>/dev/null' TERM
	while ((!stopping)); do
		# The words of a command hold no white space.
		# shellcheck disable=SC2086
		$BIN/$command 2>>"$OUT/events/$name.jsonl" >/dev/null </dev/null &
		pid=$!
		wait $pid
		status=$?
		((status == CRASHED)) || break
		echo "$name" >>"$OUT/lost.txt"
		sleep $RESTART_SECONDS
	done
	wait
}

# send_once sends the crashing request through one node.
send_once() {
	local node=$1 target=/fault-logs body=()
	[[ $METHOD == GET ]] || {
		target=/bookings
		body=(-H 'Content-Type: application/json' -d '{"door":"crash"}')
	}
	curl -s -o /dev/null -w '%{http_code}\n' --max-time $SEND_SECONDS -X "$METHOD" "${body[@]}" \
		-H "X-Crash: $CRASHED_SERVICE" -H 'X-Request-Id: crash' "http://$node$target?door=crash"
}

# send_all sends it through all nodes in turn, each time at once after the
# answer to the last.
send_all() {
	local nodes number
	mapfile -t nodes < <(grep -o '"[0-9.]*:7000"' "$OUT/settings/targets-galenacart.json" | tr -d '"')
	for ((number = 0; number < SENDS; number++)); do
		send_once "${nodes[number % ${#nodes[@]}]}"
	done
}

lay_out || exit 1
: >"$OUT/lost.txt"
while read -r name command; do
	supervise "$name" "$command" &
done <"$OUT/settings/processes-galenacart.txt"
play_load &
load=$!
sleep $QUIET_SECONDS
send_all >"$OUT/sends.txt"
wait $load || {
	tail -n 3 "$OUT/load.txt" >&2
	exit 1
}
stop_all
check_truth
status=$?
echo "answers to the crashing request: $(sort "$OUT/sends.txt" | uniq -c | tr -s ' \n' ' ')"
verdict "endpoints lost to one request, sent $SENDS times" "$(wc -l <"$OUT/lost.txt")" '<=' 2
shares during 0.98
verdict "check-truth: run twice or wrong not-run" "$status" '<=' 0
exit $missed
