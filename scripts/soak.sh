#!/bin/sh
# Runs the property and end-to-end tests repeatedly: soak.sh [SEED [ROUNDS]].
# Each round uses and prints its own seed. Stops at the first failure.
set -u
cd "$(dirname "$0")/.."

seed=${1:-20261204}
rounds=${2:-10}
round=0
while test "$round" -lt "$rounds"
do
	echo "== round $round, seed $((seed + round))"
	SEED=$((seed + round)) scripts/run_tests.sh property e2e || exit 1
	round=$((round + 1))
done
