#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/send_budget.h"

#define NODES 78
#define TICK_MS 10
#define RANK 2

/*
 * Many nodes, each with little work, before one server that turns away what
 * is more than its capacity; what was turned away is tried again.
 */
typedef struct {
	send_budget_t budgets[NODES];
	uint32_t backlog[NODES];
	uint32_t per_tick; /* the server's capacity */
	uint32_t sent;
	uint32_t taken;
	uint32_t refused;
} shift_t;

static void tick(shift_t *shift, uint64_t now_ms, uint32_t arrivals)
{
	uint32_t room = shift->per_tick;
	/* Another node is first each time. */
	const uint32_t first = (uint32_t)(now_ms / TICK_MS * 31);

	for (uint32_t i = 0; i < arrivals; i++)
		shift->backlog[(first * 7 + i * 13) % NODES]++;
	for (uint32_t i = 0; i < NODES; i++) {
		const uint32_t node = (first + i) % NODES;
		send_budget_t *budget = &shift->budgets[node];
		uint32_t tries = shift->backlog[node];

		for (; tries; tries--) {
			const bool room_left = room > 0;

			const bool sent =
				send_budget_allows(budget, RANK, now_ms);

			send_budget_offered(budget, RANK, sent, now_ms);
			if (!sent) {
				shift->refused++;
				shift->backlog[node]--;
				continue;
			}
			shift->sent++;
			send_budget_answered(budget, room_left, now_ms);
			if (!room_left)
				continue;
			room--;
			shift->taken++;
			shift->backlog[node]--;
		}
	}
}

static void play(shift_t *shift, uint64_t from_ms, uint64_t to_ms,
		 uint32_t arrivals)
{
	shift->sent = shift->taken = shift->refused = 0;
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += TICK_MS)
		tick(shift, now_ms, arrivals);
}

static void test_server_with_room_gets_all(void **state)
{
	shift_t shift = {.per_tick = 4};

	play(&shift, 10000, 20000, 3);
	assert_int_equal(shift.refused, 0);
	assert_int_equal(shift.taken, 3000);
}

/* Twice the capacity: the server is kept busy and no more. */
static void test_overloaded_server_is_not_stormed(void **state)
{
	shift_t shift = {.per_tick = 4};

	play(&shift, 10000, 13000, 8);
	play(&shift, 13000, 23000, 8);
	assert_in_range(shift.taken, 3600, 4000);
	assert_in_range(shift.sent, shift.taken, 2 * shift.taken);
	assert_in_range(shift.refused, 3600, 4600);
}

static void test_recovery_is_noticed(void **state)
{
	shift_t shift = {.per_tick = 0};

	play(&shift, 10000, 15000, 4);
	assert_int_equal(shift.taken, 0);
	assert_in_range(shift.sent, 1, 900);
	shift.per_tick = 6;
	play(&shift, 15000, 17000, 4);
	play(&shift, 17000, 19000, 4);
	assert_int_equal(shift.refused, 0);
}

static void test_urgent_work_has_more_room(void **state)
{
	send_budget_t budget = {0};

	for (uint32_t i = 0; i < 30; i++) {
		send_budget_offered(&budget, 1, true, 10000 + i);
		send_budget_offered(&budget, 2, true, 10000 + i);
		send_budget_answered(&budget, i % 3 < 2, 10000 + i);
	}
	assert_true(send_budget_allows(&budget, 1, 10030));
	assert_false(send_budget_allows(&budget, 2, 10030));
}

/*
 * Both replicas of a service lag: its primary, with three slots and a short
 * queue, gets all reads as well, more than twice what it can do. Statements
 * come at many nodes; what was not run is tried twice more.
 */
#define SLOTS 3
#define QUEUE_MAX 24
#define CLASSES 3
#define CALLERS_MAX 4096
#define TRIES 3
#define COME_BACK_MS 300
#define RETRY_MS 40

typedef struct {
	uint32_t per_s;
	uint32_t work_ms;
	send_rank_t rank;
	uint32_t asked;
	uint32_t served;
} class_t;

typedef struct {
	uint32_t class;
	uint32_t node;
	uint32_t tries;
	uint64_t due_ms;
	bool used;
} caller_t;

typedef struct {
	class_t classes[CLASSES];
	send_budget_t budgets[NODES];
	caller_t callers[CALLERS_MAX];
	uint32_t queue[QUEUE_MAX]; /* callers */
	uint32_t queued;
	uint32_t running[SLOTS]; /* callers */
	uint64_t until_ms[SLOTS];
	GRand *random;
} lagging_t;

static void caller_add(lagging_t *world, uint32_t class, uint64_t now_ms)
{
	for (uint32_t i = 0; i < CALLERS_MAX; i++) {
		if (world->callers[i].used)
			continue;
		world->callers[i] = (caller_t){
			.class = class,
			.node = g_rand_int_range(world->random, 0, NODES),
			.due_ms = now_ms,
			.used = true,
		};
		world->classes[class].asked++;
		return;
	}
	fail();
}

static void refuse(caller_t *caller, uint64_t now_ms)
{
	caller->used = ++caller->tries < TRIES;
	caller->due_ms = now_ms + COME_BACK_MS;
}

static void arrive(lagging_t *world, uint32_t index, uint64_t now_ms)
{
	caller_t *caller = &world->callers[index];
	send_budget_t *budget = &world->budgets[caller->node];
	const uint32_t rank =
		send_budget_rank(&world->classes[caller->class].rank);
	const bool sent = send_budget_allows(budget, rank, now_ms);

	send_budget_offered(budget, rank, sent, now_ms);
	caller->due_ms = UINT64_MAX;
	if (!sent) {
		refuse(caller, now_ms);
	} else if (world->queued == QUEUE_MAX) {
		send_budget_answered(budget, false, now_ms);
		caller->due_ms = now_ms + RETRY_MS;
	} else {
		world->queue[world->queued++] = index;
	}
}

static void run_slots(lagging_t *world, uint64_t now_ms)
{
	for (uint32_t i = 0; i < SLOTS; i++) {
		caller_t *caller = &world->callers[world->running[i]];

		if (now_ms < world->until_ms[i])
			continue;
		if (world->until_ms[i]) {
			world->classes[caller->class].served++;
			send_budget_answered(&world->budgets[caller->node],
					     true, now_ms);
			caller->used = false;
			world->until_ms[i] = 0;
		}
		if (!world->queued)
			continue;
		world->running[i] = world->queue[0];
		world->queued--;
		memmove(world->queue, world->queue + 1,
			world->queued * sizeof(world->queue[0]));
		caller = &world->callers[world->running[i]];
		world->until_ms[i] =
			now_ms + world->classes[caller->class].work_ms;
	}
}

static void test_primary_alone_serves_what_needs_it(void **state)
{
	g_autofree lagging_t *world = g_new0(lagging_t, 1);
	class_t *bookings = &world->classes[0];
	class_t *logs = &world->classes[1];
	class_t *browses = &world->classes[2];
	const uint32_t capacity_ms = SLOTS * 20000;
	uint32_t done_ms = 0;

	*bookings = (class_t){.per_s = 50, .work_ms = 6, .rank = {1}};
	*logs = (class_t){.per_s = 240,
			  .work_ms = 18,
			  .rank = {.priority = 2, .elsewhere = true}};
	*browses = (class_t){.per_s = 50,
			     .work_ms = 30,
			     .rank = {.priority = 2, .any_age = true}};
	world->random = g_rand_new_with_seed(20261204);
	for (uint64_t now_ms = 1000; now_ms < 26000; now_ms++) {
		if (now_ms == 6000)
			for (uint32_t i = 0; i < CLASSES; i++)
				world->classes[i].asked =
					world->classes[i].served = 0;
		for (uint32_t i = 0; i < CLASSES; i++)
			if (g_rand_double(world->random) <
			    world->classes[i].per_s / 1000.0)
				caller_add(world, i, now_ms);
		for (uint32_t i = 0; i < CALLERS_MAX; i++)
			if (world->callers[i].used &&
			    world->callers[i].due_ms <= now_ms)
				arrive(world, i, now_ms);
		run_slots(world, now_ms);
	}
	g_rand_free(world->random);
	for (uint32_t i = 0; i < CLASSES; i++) {
		done_ms += world->classes[i].served * world->classes[i].work_ms;
		print_message("class %u: %u of %u\n", i,
			      world->classes[i].served,
			      world->classes[i].asked);
	}
	/* Kept busy; bookings go first, browsing yields to what can't wait. */
	assert_in_range(done_ms, capacity_ms * 95 / 100,
			capacity_ms + SLOTS * browses->work_ms);
	assert_in_range(bookings->served, bookings->asked * 97 / 100,
			bookings->asked);
	assert_in_range(logs->served, logs->asked * 50 / 100, logs->asked);
	assert_in_range(browses->served, 0, browses->asked * 20 / 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_with_room_gets_all),
		cmocka_unit_test(test_overloaded_server_is_not_stormed),
		cmocka_unit_test(test_recovery_is_noticed),
		cmocka_unit_test(test_urgent_work_has_more_room),
		cmocka_unit_test(test_primary_alone_serves_what_needs_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
