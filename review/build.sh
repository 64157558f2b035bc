#!/bin/sh
# Builds the stand-ins that the cases start. The others are Perl programs, which
# need no build: perl comes with build-essential, a package of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make BUILD=target target/bin/standin-site
perl -Ireview -MSite -MClient -e 1
