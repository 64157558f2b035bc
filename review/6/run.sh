#!/bin/sh
# A planned stop under load; see claim.txt. TROUBLE=0 runs it without the stop.
cd "$(dirname "$0")" || exit 2
exec perl -I.. run.pl
