#!/bin/sh
# Installs the Debian packages that packages.txt lists and that are missing.
set -eu

cd "$(dirname "$0")/.."
missing=
for package in $(cat packages.txt)
do
	if ! dpkg -s "$package" >/dev/null 2>&1
	then
		missing="$missing $package"
	fi
done
if test -z "$missing"
then
	exit 0
fi
echo "installing:$missing"
as_root=
if test "$(id -u)" -ne 0
then
	as_root=sudo
fi
$as_root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq $missing
