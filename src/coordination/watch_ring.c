#include "coordination/watch_ring.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* A member and its position on a ring. */
typedef struct {
	uint64_t position;
	const member_t *member;
} ring_slot_t;

static int compare_slots(const void *a, const void *b)
{
	const ring_slot_t *left = a;
	const ring_slot_t *right = b;

	if (left->position != right->position)
		return left->position < right->position ? -1 : 1;
	return strcmp(left->member->name, right->member->name);
}

static bool same_domain(const member_t *a, const member_t *b)
{
	return !strcmp(a->failure_domain, b->failure_domain);
}

static GArray *make_ring(const member_t *const *members, uint32_t members_count,
			 const char *failure_domain, uint64_t seed)
{
	GArray *ring = g_array_new(FALSE, FALSE, sizeof(ring_slot_t));

	for (uint32_t i = 0; i < members_count; i++) {
		const member_t *member = members[i];
		ring_slot_t slot = {.member = member};

		if (failure_domain &&
		    strcmp(member->failure_domain, failure_domain))
			continue;
		slot.position = XXH3_64bits_withSeed(
			member->name, strlen(member->name), seed);
		g_array_append_val(ring, slot);
	}
	g_array_sort(ring, compare_slots);
	return ring;
}

static const member_t *ring_at(const GArray *ring, uint32_t index)
{
	return g_array_index(ring, ring_slot_t, index % ring->len).member;
}

static uint32_t ring_find(const GArray *ring, const member_t *self)
{
	uint32_t index = 0;

	while (index < ring->len && ring_at(ring, index) != self)
		index++;
	g_assert(index < ring->len);
	return index;
}

static void add_peer(watch_ring_peer_t *peers, uint32_t *count, uint32_t limit,
		     const member_t *member, bool is_near)
{
	for (uint32_t i = 0; i < *count; i++)
		if (peers[i].member == member)
			return;
	if (*count == limit)
		return;
	peers[*count].member = member;
	peers[*count].is_near = is_near;
	(*count)++;
}

static void add_target(watch_ring_t *ring, const member_t *member, bool is_near)
{
	add_peer(ring->targets, &ring->targets_count, WATCH_RING_TARGETS_MAX,
		 member, is_near);
}

static void add_watched(watch_ring_t *ring, const member_t *member,
			bool is_near)
{
	add_peer(ring->watched, &ring->watched_count, WATCH_RING_WATCHED_MAX,
		 member, is_near);
}

static void join_near(watch_ring_t *result, const GArray *ring,
		      const member_t *self)
{
	uint32_t index = ring_find(ring, self);

	if (ring->len < 2)
		return;
	add_target(result, ring_at(ring, index + 1), true);
	add_watched(result, ring_at(ring, index + ring->len - 1), true);
}

/*
 * Adds the partners of a ring over all domains. The members that send to self
 * directly precede it and are all of one other domain: a member that is further
 * back finds a member of another domain before it reaches self.
 */
static void join_far(watch_ring_t *result, const GArray *ring,
		     const member_t *self)
{
	const uint32_t index = ring_find(ring, self);
	const member_t *before = ring_at(ring, index + ring->len - 1);

	for (uint32_t i = 1; i < ring->len; i++) {
		const member_t *after = ring_at(ring, index + i);

		if (same_domain(after, self))
			continue;
		add_target(result, after, false);
		break;
	}
	for (uint32_t i = 1; i < ring->len; i++) {
		const member_t *sender = ring_at(ring, index + ring->len - i);

		if (same_domain(sender, self) || !same_domain(sender, before))
			break;
		add_watched(result, sender, false);
	}
}

watch_ring_t watch_ring_build(const member_t *const *members,
			      uint32_t members_count, const member_t *self)
{
	watch_ring_t result = {0};

	for (uint64_t seed = 0; seed < WATCH_RING_COUNT; seed++) {
		g_autoptr(GArray) near = make_ring(members, members_count,
						   self->failure_domain, seed);
		g_autoptr(GArray) all =
			make_ring(members, members_count, NULL, seed);

		join_near(&result, near, self);
		join_far(&result, all, self);
	}
	return result;
}
