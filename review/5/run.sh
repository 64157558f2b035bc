#!/bin/sh
# Clients run transactions while the primary fails part of its requests.
# With TROUBLE=0 it fails none.
cd "$(dirname "$0")/../.." && exec perl -Ireview "review/$(basename "$(dirname "$0")")/case.pl"
