#!/bin/sh
# Runs all benchmarks one after the other. Prints their output and stores it
# in build/bench. FAILOVER_RUNS is the number of runs of each fault in
# bench_failover, SEED the seed of bench_membership; the seeds of the other
# benchmarks are fixed.
set -u
cd "$(dirname "$0")/.."

export SEED="${SEED:-20261204}"
LIMIT_S=240
mkdir -p build/bench
status=0
for program in build/tests/bench/bench_*
do
	case $program in *.o | *.d) continue ;; esac
	name=$(basename "$program")
	arguments=
	if test "$name" = bench_failover
	then
		arguments=--runs=${FAILOVER_RUNS:-3}
	fi
	echo "== $name $arguments"
	timeout $LIMIT_S "$program" $arguments >"build/bench/$name.txt"
	result=$?
	cat "build/bench/$name.txt"
	if test $result -ne 0
	then
		echo "$name ended with $result"
		status=1
	fi
done
exit $status
