#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. The
# programs of the deploy file are built by its own command.
set -eu

cd "$(dirname "$0")/.."
make BUILD=target target/bin/standin-site
