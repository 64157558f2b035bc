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
 * Simulates many nodes, each with few statements, and one server that rejects
 * statements above its capacity. Statements that the server rejects are sent
 * again in the next tick.
 */
typedef struct {
	send_budget_t budgets[NODES];
	uint32_t backlog[NODES];
	uint32_t per_tick; /* the server's capacity in statements */
	uint32_t sent;	   /* statements sent to the server */
	uint32_t accepted; /* statements that the server accepted */
	uint32_t refused;  /* statements that a node did not send */
} simulation_t;

static void tick(simulation_t *simulation, uint64_t now_ms, uint32_t arrivals)
{
	uint32_t capacity = simulation->per_tick;
	/* The order of the nodes rotates. */
	const uint32_t first = (uint32_t)(now_ms / TICK_MS * 31);

	for (uint32_t i = 0; i < arrivals; i++)
		simulation->backlog[(first * 7 + i * 13) % NODES]++;
	for (uint32_t i = 0; i < NODES; i++) {
		const uint32_t node = (first + i) % NODES;
		send_budget_t *budget = &simulation->budgets[node];
		uint32_t tries = simulation->backlog[node];

		for (; tries; tries--) {
			const bool accepted = capacity > 0;

			const bool sent =
				send_budget_allows(budget, RANK, now_ms);

			send_budget_offered(budget, RANK, sent, now_ms);
			if (!sent) {
				simulation->refused++;
				simulation->backlog[node]--;
				continue;
			}
			simulation->sent++;
			send_budget_answered(budget, accepted, now_ms);
			if (!accepted)
				continue;
			capacity--;
			simulation->accepted++;
			simulation->backlog[node]--;
		}
	}
}

static void simulate(simulation_t *simulation, uint64_t from_ms, uint64_t to_ms,
		     uint32_t arrivals)
{
	simulation->sent = simulation->accepted = simulation->refused = 0;
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += TICK_MS)
		tick(simulation, now_ms, arrivals);
}

static void test_idle_server_gets_all(void **state)
{
	simulation_t simulation = {.per_tick = 4};

	simulate(&simulation, 10000, 20000, 3);
	assert_int_equal(simulation.refused, 0);
	assert_int_equal(simulation.accepted, 3000);
}

/*
 * At twice the capacity the server must stay busy without getting many more
 * statements than it accepts.
 */
static void test_overloaded_server_is_not_flooded(void **state)
{
	simulation_t simulation = {.per_tick = 4};

	simulate(&simulation, 10000, 13000, 8);
	simulate(&simulation, 13000, 23000, 8);
	assert_in_range(simulation.accepted, 3600, 4000);
	assert_in_range(simulation.sent, simulation.accepted,
			2 * simulation.accepted);
	assert_in_range(simulation.refused, 3600, 4600);
}

static void test_recovery_is_noticed(void **state)
{
	simulation_t simulation = {.per_tick = 0};

	simulate(&simulation, 10000, 15000, 4);
	assert_int_equal(simulation.accepted, 0);
	assert_in_range(simulation.sent, 1, 900);
	simulation.per_tick = 6;
	simulate(&simulation, 15000, 17000, 4);
	simulate(&simulation, 17000, 19000, 4);
	assert_int_equal(simulation.refused, 0);
}

static void test_urgent_statements_are_sent_first(void **state)
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
 * Both replicas of a service lag, so its primary, with three slots and a short
 * queue, gets all reads as well: more than twice its capacity. Statements
 * arrive at many nodes; callers try a refused statement twice more.
 */
#define SLOTS 3
#define QUEUE_MAX 24
#define CLASSES 3
#define CALLERS_MAX 4096
#define TRIES 3
#define CALLER_RETRY_MS 300
#define NODE_RETRY_MS 40

/* One kind of statement. */
typedef struct {
	uint32_t per_s;	  /* arrivals */
	uint32_t work_ms; /* duration of a statement */
	send_rank_t rank;
	uint32_t arrived;
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
	uint32_t queue[QUEUE_MAX]; /* indices of callers */
	uint32_t queued;
	uint32_t running[SLOTS];  /* indices of callers */
	uint64_t until_ms[SLOTS]; /* end of the running statement, or 0 */
	GRand *random;
} primary_simulation_t;

static void caller_add(primary_simulation_t *simulation, uint32_t class,
		       uint64_t now_ms)
{
	for (uint32_t i = 0; i < CALLERS_MAX; i++) {
		if (simulation->callers[i].used)
			continue;
		simulation->callers[i] = (caller_t){
			.class = class,
			.node = g_rand_int_range(simulation->random, 0, NODES),
			.due_ms = now_ms,
			.used = true,
		};
		simulation->classes[class].arrived++;
		return;
	}
	fail();
}

static void refuse(caller_t *caller, uint64_t now_ms)
{
	caller->used = ++caller->tries < TRIES;
	caller->due_ms = now_ms + CALLER_RETRY_MS;
}

static void arrive(primary_simulation_t *simulation, uint32_t index,
		   uint64_t now_ms)
{
	caller_t *caller = &simulation->callers[index];
	send_budget_t *budget = &simulation->budgets[caller->node];
	const uint32_t rank =
		send_budget_rank(&simulation->classes[caller->class].rank);
	const bool sent = send_budget_allows(budget, rank, now_ms);

	send_budget_offered(budget, rank, sent, now_ms);
	caller->due_ms = UINT64_MAX;
	if (!sent) {
		refuse(caller, now_ms);
	} else if (simulation->queued == QUEUE_MAX) {
		send_budget_answered(budget, false, now_ms);
		caller->due_ms = now_ms + NODE_RETRY_MS;
	} else {
		simulation->queue[simulation->queued++] = index;
	}
}

static void run_slots(primary_simulation_t *simulation, uint64_t now_ms)
{
	for (uint32_t i = 0; i < SLOTS; i++) {
		caller_t *caller = &simulation->callers[simulation->running[i]];

		if (now_ms < simulation->until_ms[i])
			continue;
		if (simulation->until_ms[i]) {
			simulation->classes[caller->class].served++;
			send_budget_answered(&simulation->budgets[caller->node],
					     true, now_ms);
			caller->used = false;
			simulation->until_ms[i] = 0;
		}
		if (!simulation->queued)
			continue;
		simulation->running[i] = simulation->queue[0];
		simulation->queued--;
		memmove(simulation->queue, simulation->queue + 1,
			simulation->queued * sizeof(simulation->queue[0]));
		caller = &simulation->callers[simulation->running[i]];
		simulation->until_ms[i] =
			now_ms + simulation->classes[caller->class].work_ms;
	}
}

static void test_lone_primary_serves_urgent_classes_first(void **state)
{
	g_autofree primary_simulation_t *simulation =
		g_new0(primary_simulation_t, 1);
	class_t *bookings = &simulation->classes[0];
	class_t *logs = &simulation->classes[1];
	class_t *browses = &simulation->classes[2];
	const uint32_t capacity_ms = SLOTS * 20000;
	uint32_t done_ms = 0;

	*bookings = (class_t){.per_s = 50, .work_ms = 6, .rank = {1}};
	*logs = (class_t){.per_s = 240,
			  .work_ms = 18,
			  .rank = {.priority = 2, .served_elsewhere = true}};
	*browses = (class_t){.per_s = 50,
			     .work_ms = 30,
			     .rank = {.priority = 2, .accepts_any_age = true}};
	simulation->random = g_rand_new_with_seed(20261204);
	for (uint64_t now_ms = 1000; now_ms < 26000; now_ms++) {
		if (now_ms == 6000)
			for (uint32_t i = 0; i < CLASSES; i++)
				simulation->classes[i].arrived =
					simulation->classes[i].served = 0;
		for (uint32_t i = 0; i < CLASSES; i++)
			if (g_rand_double(simulation->random) <
			    simulation->classes[i].per_s / 1000.0)
				caller_add(simulation, i, now_ms);
		for (uint32_t i = 0; i < CALLERS_MAX; i++)
			if (simulation->callers[i].used &&
			    simulation->callers[i].due_ms <= now_ms)
				arrive(simulation, i, now_ms);
		run_slots(simulation, now_ms);
	}
	g_rand_free(simulation->random);
	for (uint32_t i = 0; i < CLASSES; i++) {
		done_ms += simulation->classes[i].served *
			   simulation->classes[i].work_ms;
		print_message("class %u: %u of %u\n", i,
			      simulation->classes[i].served,
			      simulation->classes[i].arrived);
	}
	/*
	 * The primary stays busy, bookings are served first, and browsing,
	 * which accepts old data, is refused before all else.
	 */
	assert_in_range(done_ms, capacity_ms * 95 / 100,
			capacity_ms + SLOTS * browses->work_ms);
	assert_in_range(bookings->served, bookings->arrived * 97 / 100,
			bookings->arrived);
	assert_in_range(logs->served, logs->arrived * 50 / 100, logs->arrived);
	assert_in_range(browses->served, 0, browses->arrived * 20 / 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idle_server_gets_all),
		cmocka_unit_test(test_overloaded_server_is_not_flooded),
		cmocka_unit_test(test_recovery_is_noticed),
		cmocka_unit_test(test_urgent_statements_are_sent_first),
		cmocka_unit_test(test_lone_primary_serves_urgent_classes_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
