#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")" && exec perl -Ibed run.pl
