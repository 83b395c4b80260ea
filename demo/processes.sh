# Starts and ends the processes of a layout. Sourced by the scripts beside it.
# Every process ends with the script that started it.

readonly BIN=${BIN:-bin}
readonly STOP_SECONDS=${STOP_SECONDS:-10}
readonly START_SECONDS=0.5
started=0

# start_all starts every process of a mode. Its events go to a file of its own.
start_all() {
	local out=$1 mode=$2 name command
	mkdir -p "$out/$mode/events"
	started=0
	while read -r name command; do
		# The words of a command hold no white space.
		# shellcheck disable=SC2086
		$BIN/$command 2>"$out/$mode/events/$name.jsonl" >/dev/null </dev/null &
		started=$((started + 1))
	done <"$out/settings/processes-$mode.txt"
	# A process that can't have its address ends at once.
	sleep $START_SECONDS
	check_running "$out/$mode/events"
}

# check_running fails unless every process that start_all started still runs.
check_running() {
	local running
	running=$(jobs -pr | wc -l)
	((running == started)) && return 0
	echo "$((started - running)) of $started processes have ended; see the last lines of $1" >&2
	return 1
}

# wait_for runs a command in the background and waits for it, so that a signal
# to the script is handled at once.
wait_for() {
	"$@" &
	wait $!
}

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
		echo "killed after $STOP_SECONDS s: $running" >&2
		# shellcheck disable=SC2086
		kill -KILL $running 2>/dev/null
	fi
	wait
}

# finish ends all processes, whatever further signals come.
finish() {
	trap '' INT TERM HUP
	stop_all
}

trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
trap 'exit 129' HUP
