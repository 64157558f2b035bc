#include "state/sync_holders.h"

#include <string.h>

#include <glib.h>

static sync_holder_t *find(sync_holders_t *holders, const char *id,
			   uint64_t started_ms)
{
	for (uint32_t i = 0; i < holders->count; i++) {
		sync_holder_t *holder = &holders->holders[i];

		if (holder->started_ms == started_ms && !strcmp(holder->id, id))
			return holder;
	}
	return NULL;
}

static sync_holder_t *get(sync_holders_t *holders, const char *id,
			  uint64_t started_ms)
{
	sync_holder_t *holder = find(holders, id, started_ms);

	if (holder)
		return holder;
	if (holders->count == SYNC_HOLDERS_MAX) {
		holders->overflowed = true;
		return NULL;
	}
	holder = &holders->holders[holders->count++];
	*holder = (sync_holder_t){.started_ms = started_ms};
	g_strlcpy(holder->id, id, sizeof(holder->id));
	return holder;
}

static bool is_present(const sync_holder_t *holder,
		       const sync_replica_t *replicas, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (holder->started_ms == replicas[i].started_ms &&
		    !strcmp(holder->id, replicas[i].id))
			return true;
	return false;
}

bool sync_holders_update(sync_holders_t *holders,
			 const sync_replica_t *replicas, uint32_t count,
			 uint64_t now_ms)
{
	bool departed = false;

	for (uint32_t i = 0; i < count; i++)
		get(holders, replicas[i].id, replicas[i].started_ms);
	for (uint32_t i = 0; i < holders->count; i++) {
		sync_holder_t *holder = &holders->holders[i];

		if (is_present(holder, replicas, count)) {
			holder->departed_ms = 0;
		} else if (!holder->departed_ms) {
			holder->departed_ms = now_ms;
			departed = true;
		}
	}
	return departed;
}

void sync_holders_merge(sync_holders_t *holders, const sync_holders_t *other)
{
	for (uint32_t i = 0; i < other->count; i++)
		get(holders, other->holders[i].id,
		    other->holders[i].started_ms);
	holders->overflowed |= other->overflowed;
}

void sync_holders_new_term(sync_holders_t *holders, const char *primary,
			   const char *old, uint64_t started_ms)
{
	for (uint32_t i = holders->count; i > 0; i--)
		if (!strcmp(holders->holders[i - 1].id, primary))
			holders->holders[i - 1] =
				holders->holders[--holders->count];
	if (*old && strcmp(old, primary))
		get(holders, old, started_ms);
}

uint32_t sync_holders_departed(const sync_holders_t *holders)
{
	uint32_t departed = 0;

	for (uint32_t i = 0; i < holders->count; i++)
		departed += holders->holders[i].departed_ms != 0;
	return departed;
}

void sync_holders_superseded(sync_holders_t *holders, uint64_t asked_ms)
{
	for (uint32_t i = holders->count; i > 0; i--) {
		const sync_holder_t *holder = &holders->holders[i - 1];

		if (holder->departed_ms &&
		    holder->departed_ms + SYNC_HOLDERS_GONE_MS <= asked_ms)
			holders->holders[i - 1] =
				holders->holders[--holders->count];
	}
	/* Whoever did not fit is no longer needed either. */
	holders->overflowed = false;
}
