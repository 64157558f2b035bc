#!/bin/sh
# Runs the benches one after the other; their lines go to build/bench, too.
# FAILOVER_RUNS sets how often each fault is tried, SEED the seed of
# bench_membership; the others have theirs built in and print it.
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
