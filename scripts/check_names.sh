#!/bin/sh
# Fails if src, daemons or tools use a name of the users' platform. Only the
# folders that translate these names may contain them.
set -eu
cd "$(dirname "$0")/.."
names='kv-(txn|watch|range|lease|keep)|X-Fencing|X-Lease-Holder'
names="$names|TOUCANHOOK_BOOT|expected_rev|db_role|cold_remaining"
names="$names|listen_addrs|internal_ports|cloud_api|\"servers/|\"op/"
names="$names|READONLY|LAGGING|INDOUBT|WRONGNODE|TOOMANY|DATAROW|STEPDOWN"
names="$names|max_staleness_ms|route_type|tx_idle_ms"
if git grep -nIE "$names" -- src daemons tools
then
	echo "names of the platform outside platform/" >&2
	exit 1
fi
