#!/bin/sh
# A broken packet with a NUL byte; see claim.txt. TROUBLE=0 runs it without.
cd "$(dirname "$0")" || exit 2
exec perl -I.. run.pl
