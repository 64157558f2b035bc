#!/bin/bash
# Runs the fault soak with consecutive seeds until MINUTES have passed:
# soak_faults.sh FIRST_SEED MINUTES
# Keeps the logs of failed seeds in build/logs.
set -u
cd "$(dirname "$0")/.."
seed=$1
end=$((SECONDS + 60 * $2))
failed=
mkdir -p build/logs
while test $SECONDS -lt $end
do
	log=build/logs/soak-$seed.log
	if build/tests/soak/soak --seed "$seed" >"$log" 2>&1
	then
		grep '^seed' "$log"
		rm "$log"
	else
		failed="$failed $seed"
		grep -E '^(seed|problem)' "$log" | head -5
	fi
	seed=$((seed + 1))
done
test -z "$failed" || { echo "failed seeds:$failed"; exit 1; }
