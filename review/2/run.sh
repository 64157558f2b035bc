#!/bin/sh
# One replica receives nothing for a while and the primary goes dark meanwhile,
# while the other replica is being replaced as planned.
# With TROUBLE=0 there is the planned replacement alone.
cd "$(dirname "$0")/../.." && exec perl -Ireview "review/$(basename "$(dirname "$0")")/case.pl"
