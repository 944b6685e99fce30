#!/usr/bin/env bash
# Runs a case five times and once with TROUBLE=0; writes the exit codes to runs.txt of the case.
cd "$(dirname "$0")/.." || exit 2
for number in "$@"; do
	folder="review/$number"
	codes=""
	TROUBLE=0 "$folder/run.sh" >/dev/null 2>&1
	calm=$?
	for run in 1 2 3 4 5; do
		"$folder/run.sh" >/dev/null 2>&1
		codes="$codes $?"
	done
	echo "exit codes of five runs:$codes; of one run with TROUBLE=0: $calm" | tee "$folder/runs.txt"
done
