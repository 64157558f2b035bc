#!/bin/sh
# Clients prepare shapes of their own, all under the name s1, on a healthy site.
# With TROUBLE=0 all clients prepare the same shape. SEED draws the shapes.
cd "$(dirname "$0")/../.." && exec perl -Ireview "review/$(basename "$(dirname "$0")")/case.pl"
