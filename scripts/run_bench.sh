#!/bin/sh
# Runs the benches one after the other; their lines go to build/bench, too.
set -u
cd "$(dirname "$0")/.."

mkdir -p build/bench
status=0
for program in build/tests/bench/bench_*
do
	case $program in *.o | *.d) continue ;; esac
	name=$(basename "$program")
	echo "== $name"
	"$program" >"build/bench/$name.txt" || status=1
	cat "build/bench/$name.txt"
done
exit $status
