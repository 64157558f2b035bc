#!/bin/sh
# Prepares what the scripts of the cases from 11 on start. Their stand-ins are
# written in Perl and need no build, only the modules that come with it.
set -eu
cd "$(dirname "$0")"
for file in 11/bed/*.pm 1[1-9]/run.pl
do
	perl -I11/bed -c "$file"
done
