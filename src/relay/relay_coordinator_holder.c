#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/text.h"
#include "relay/relay_registration.h"

void coordinator_holder_clear(coordinator_holder_t *holder)
{
	g_clear_pointer(&holder->node, g_free);
	holder->era = 0;
	holder->restored_ms = 0;
}

char *coordinator_holder_encode(const coordinator_holder_t *holder)
{
	return g_strdup_printf("%s %" PRId64 " %" PRId64, holder->node,
			       holder->era, holder->restored_ms);
}

/* Earlier versions wrote the name alone. */
static void decode(const char *text, coordinator_holder_t *holder)
{
	g_auto(GStrv) fields = g_strsplit(text, " ", 3);
	const guint count = g_strv_length(fields);

	coordinator_holder_clear(holder);
	holder->node = g_strdup(count ? fields[0] : "");
	if (count < 3)
		return;
	g_ascii_string_to_signed(fields[1], 10, 0, G_MAXINT64, &holder->era,
				 NULL);
	g_ascii_string_to_signed(fields[2], 10, 0, G_MAXINT64,
				 &holder->restored_ms, NULL);
}

void coordinator_holder_seen(relay_coordinator_t *coordinator,
			     const kv_item_t *item)
{
	g_autofree char *text = NULL;

	if (item->revision <= coordinator->holder_revision)
		return;
	if (item->deleted || !item->value) {
		coordinator->holder_revision = 0;
		coordinator_holder_clear(&coordinator->last_holder);
		return;
	}
	coordinator->holder_revision = item->revision;
	text = text_from_bytes(item->value);
	decode(text ? text : "", &coordinator->last_holder);
}

coordinator_holder_t
coordinator_holder_next(const relay_coordinator_t *coordinator, int64_t era)
{
	const coordinator_holder_t *last = &coordinator->last_holder;
	coordinator_holder_t next = {
		.node = g_strdup(coordinator->node),
		.era = era,
		.restored_ms = last->restored_ms,
	};

	if (!last->node)
		next.restored_ms = coordinator->restored_ms;
	else if (last->era != era)
		next.restored_ms = g_get_real_time() / 1000;
	return next;
}

bool coordinator_knows_all_nodes(const relay_coordinator_t *coordinator)
{
	const int64_t restored_ms = coordinator->last_holder.restored_ms;
	const int64_t since_ms = g_get_real_time() / 1000 - restored_ms;

	/* Until then a node may use proofs without renewing its lease. */
	return !restored_ms || since_ms > 2 * (int64_t)RELAY_LEASE_AGE_MAX_MS;
}
