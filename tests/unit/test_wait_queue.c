#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/wait_queue.h"

static int open_queue(void **state)
{
	wait_queue_t *queue = g_new0(wait_queue_t, 1);

	wait_queue_init(queue);
	*state = queue;
	return 0;
}

static int close_queue(void **state)
{
	wait_queue_clear(*state);
	g_free(*state);
	return 0;
}

static void test_earliest_target_is_served_first(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t late = {.target_ms = 2000, .deadline_ms = 3000};
	wait_entry_t soon = {.target_ms = 1500, .deadline_ms = 3000};

	wait_queue_add(queue, &late);
	wait_queue_add(queue, &soon);
	assert_ptr_equal(wait_queue_next(queue, 1000), &soon);
	assert_ptr_equal(wait_queue_next(queue, 1000), &late);
	assert_null(wait_queue_next(queue, 1000));
}

static bool is_late(void *context, const wait_entry_t *entry)
{
	return entry->target_ms >= 2000;
}

/* An entry that cannot be served now must keep its place and its share. */
static void test_entry_that_cannot_be_served_keeps_its_place(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t late = {.target_ms = 2000, .customer = "b"};
	wait_entry_t soon = {.target_ms = 1500, .customer = "a"};
	wait_entry_t next = {.target_ms = 1600, .customer = "b"};

	wait_queue_add(queue, &late);
	wait_queue_add(queue, &soon);
	assert_ptr_equal(wait_queue_next_accepted(queue, 1000, is_late, NULL),
			 &late);
	assert_null(wait_queue_next_accepted(queue, 1000, is_late, NULL));
	wait_queue_add(queue, &next);
	assert_ptr_equal(wait_queue_next(queue, 1000), &soon);
	assert_ptr_equal(wait_queue_next(queue, 1000), &next);
}

static void test_missed_targets_are_served_last(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t missed = {.target_ms = 900, .deadline_ms = 3000};
	wait_entry_t in_time = {.target_ms = 2000, .deadline_ms = 3000};

	wait_queue_add(queue, &missed);
	wait_queue_add(queue, &in_time);
	assert_ptr_equal(wait_queue_next(queue, 1000), &in_time);
}

static void test_lower_priority_adds_a_delay(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t low = {.priority = 2, .target_ms = 2000};
	wait_entry_t high = {.priority = 0, .target_ms = 2100};
	wait_entry_t starved = {.priority = 2, .target_ms = 1200};

	wait_queue_add(queue, &low);
	wait_queue_add(queue, &high);
	wait_queue_add(queue, &starved);
	assert_ptr_equal(wait_queue_next(queue, 1000), &starved);
	assert_ptr_equal(wait_queue_next(queue, 1000), &high);
	assert_ptr_equal(wait_queue_next(queue, 1000), &low);
}

static void test_control_is_served_first(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t statement = {.target_ms = 1100};
	wait_entry_t control = {.first = true, .target_ms = 5000};

	wait_queue_add(queue, &statement);
	wait_queue_add(queue, &control);
	assert_ptr_equal(wait_queue_next(queue, 1000), &control);
}

/*
 * A burst of 300 statements at once for 4 connections, each held for 30 ms per
 * statement. Statements that cannot be served before their deadline must be
 * rejected on arrival; all that are admitted must be served in time.
 */
static void test_burst_is_rejected_at_once_or_served_in_time(void **state)
{
	wait_queue_t *queue = *state;
	const uint32_t connections = 4;
	const uint64_t hold_ms = 30;
	wait_entry_t entries[300];
	uint64_t now_ms = 10000;
	uint32_t admitted = 0;

	for (uint32_t i = 0; i < 300; i++) {
		entries[i] = (wait_entry_t){.target_ms = now_ms + 600,
					    .deadline_ms = now_ms + 1000};
		if (!wait_queue_can_serve(queue, &entries[i], connections,
					  now_ms))
			continue;
		wait_queue_add(queue, &entries[i]);
		admitted++;
	}
	assert_in_range(admitted, 100, 140);
	while (queue->entries->len) {
		for (uint32_t i = 0; i < connections; i++) {
			const wait_entry_t *entry =
				wait_queue_next(queue, now_ms);

			if (!entry)
				break;
			assert_true(now_ms < entry->deadline_ms);
			wait_queue_served(queue, hold_ms);
		}
		now_ms += hold_ms;
	}
}

static void test_estimate_follows_slow_servers(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t entries[8] = {{0}};
	const uint64_t before_ms = wait_queue_estimate_ms(queue, 1);

	for (uint32_t i = 0; i < 8; i++)
		wait_queue_add(queue, &entries[i]);
	assert_true(wait_queue_estimate_ms(queue, 1) > before_ms);
	for (uint32_t i = 0; i < 100; i++)
		wait_queue_served(queue, 200);
	assert_in_range(wait_queue_estimate_ms(queue, 2), 750, 800);
}

/* Entries of the load below: statements of one class and one customer. */
typedef struct {
	const char *customer;
	uint32_t count;
	uint32_t priority;
	uint64_t target_ms;
	uint32_t served; /* in time */
} group_t;

/* Serves the queue for a second over four connections, 20 ms a statement. */
static void serve_second(wait_queue_t *queue)
{
	for (uint64_t now_ms = 1000; now_ms < 2000; now_ms += 5) {
		const wait_entry_t *entry = wait_queue_next(queue, now_ms);

		if (!entry)
			return;
		wait_queue_served(queue, 20);
		if (now_ms + 20 <= entry->deadline_ms)
			((group_t *)entry->owner)->served++;
	}
}

static void serve_groups(wait_queue_t *queue, group_t *groups, uint32_t count)
{
	g_autoptr(GPtrArray) entries = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < count; i++)
		for (uint32_t j = 0; j < groups[i].count; j++) {
			wait_entry_t *entry = g_new0(wait_entry_t, 1);

			entry->customer = groups[i].customer;
			entry->priority = groups[i].priority;
			entry->target_ms = groups[i].target_ms;
			entry->deadline_ms = 2000;
			entry->owner = &groups[i];
			g_ptr_array_add(entries, entry);
			wait_queue_add(queue, entry);
		}
	serve_second(queue);
	while (wait_queue_next(queue, 2000))
		;
}

/*
 * One customer sends six times its usual load during a burst. Its statements
 * have the earlier targets and took all of the 200 grants of the second.
 */
static void test_hot_customer_takes_no_other_share(void **state)
{
	group_t groups[] = {
		{.customer = "hot", .count = 360, .target_ms = 1500},
		{.customer = "b", .count = 60, .target_ms = 1800},
		{.customer = "c", .count = 30, .target_ms = 1800},
	};

	serve_groups(*state, groups, G_N_ELEMENTS(groups));
	assert_in_range(groups[1].served, 55, 60);
	assert_int_equal(groups[2].served, 30);
	assert_in_range(groups[0].served, 100, 115);
}

/* Customers that wait for less than their share leave the rest to others. */
static void test_unused_share_goes_to_the_others(void **state)
{
	group_t groups[] = {
		{.customer = "hot", .count = 360, .target_ms = 1500},
		{.customer = "b", .count = 2, .target_ms = 1800},
	};

	serve_groups(*state, groups, G_N_ELEMENTS(groups));
	assert_int_equal(groups[1].served, 2);
	assert_in_range(groups[0].served, 190, 198);
}

/* A customer that waited for nothing so far must not catch up on that. */
static void test_late_customer_gets_no_more_than_its_share(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t early[60] = {{0}};
	wait_entry_t late[20] = {{0}};
	uint32_t served = 0;

	for (uint32_t i = 0; i < 60; i++) {
		early[i] = (wait_entry_t){.customer = "a", .target_ms = 5000};
		wait_queue_add(queue, &early[i]);
	}
	for (uint32_t i = 0; i < 40; i++)
		wait_queue_next(queue, 1000);
	for (uint32_t i = 0; i < 20; i++) {
		late[i] = (wait_entry_t){.customer = "b", .target_ms = 5000};
		wait_queue_add(queue, &late[i]);
	}
	for (uint32_t i = 0; i < 10; i++)
		served += !strcmp(wait_queue_next(queue, 1000)->customer, "b");
	assert_in_range(served, 5, 6);
}

/*
 * A burst of payments fills a customer's share. Its statements of the last
 * class must not all wait until their deadline.
 */
static void test_last_class_is_not_starved(void **state)
{
	group_t groups[] = {
		{.customer = "a", .count = 400, .target_ms = 2100},
		{.customer = "a",
		 .count = 20,
		 .priority = 2,
		 .target_ms = 1010},
	};

	serve_groups(*state, groups, G_N_ELEMENTS(groups));
	assert_int_equal(groups[1].served, 20);
}

/* What was begun holds a server's slot and locks: it is ended first. */
static void test_open_transactions_go_first(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t begins = {.customer = "a", .target_ms = 1200};
	wait_entry_t continues = {
		.customer = "b", .continues = true, .priority = 2};

	wait_queue_add(queue, &begins);
	wait_queue_add(queue, &continues);
	assert_ptr_equal(wait_queue_next(queue, 1000), &continues);
}

/*
 * A hot customer has filled the queue beyond what is served in time. Its
 * further statements are rejected, those of the others, whose share is free,
 * are not.
 */
static void test_full_queue_rejects_the_hot_customer_alone(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t hot[200] = {{0}};
	wait_entry_t other = {.customer = "b", .deadline_ms = 1800};

	for (uint32_t i = 0; i < G_N_ELEMENTS(hot); i++) {
		hot[i] = (wait_entry_t){.customer = "hot", .deadline_ms = 1800};
		wait_queue_add(queue, &hot[i]);
	}
	assert_false(wait_queue_can_serve(queue, &hot[0], 4, 1000));
	assert_true(wait_queue_can_serve(queue, &other, 4, 1000));
	other.customer = NULL;
	assert_true(wait_queue_can_serve(queue, &other, 4, 1000));
}

/* A connection that does not fit an entry must not cost its customer a turn. */
static void test_returned_entry_keeps_its_turn(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t a[2] = {{.customer = "a", .target_ms = 1500},
			     {.customer = "a", .target_ms = 1600}};
	wait_entry_t b = {.customer = "b", .target_ms = 1800};

	wait_queue_add(queue, &a[0]);
	wait_queue_add(queue, &a[1]);
	wait_queue_add(queue, &b);
	assert_ptr_equal(wait_queue_next(queue, 1000), &a[0]);
	wait_queue_return(queue, &a[0]);
	assert_ptr_equal(wait_queue_next(queue, 1000), &a[0]);
	assert_ptr_equal(wait_queue_next(queue, 1000), &b);
}

/* The order on a site without customers, as documented. */
static bool precedes_plainly(const wait_entry_t *a, const wait_entry_t *b,
			     uint64_t done_ms)
{
	const bool a_in_time = done_ms <= a->target_ms;
	const bool b_in_time = done_ms <= b->target_ms;

	if (a->first != b->first)
		return a->first;
	if (a_in_time != b_in_time)
		return a_in_time;
	return a->target_ms + a->priority * 150 <
	       b->target_ms + b->priority * 150;
}

/* A site without customers must be served in the order of before. */
static void test_order_without_customers_is_as_before(void **state)
{
	wait_queue_t *queue = *state;
	GRand *random = g_rand_new_with_seed(7);
	wait_entry_t entries[60] = {{0}};

	for (uint32_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		entries[i].first = g_rand_int_range(random, 0, 8) == 0;
		entries[i].priority = (uint32_t)g_rand_int_range(random, 0, 3);
		entries[i].target_ms =
			(uint64_t)g_rand_int_range(random, 500, 2000);
		wait_queue_add(queue, &entries[i]);
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		const uint64_t now_ms = 500 + 20 * i;
		const wait_entry_t *next = wait_queue_next(queue, now_ms);

		for (uint32_t j = 0; j < queue->entries->len; j++)
			assert_false(precedes_plainly(
				queue->entries->pdata[j], next,
				now_ms + (uint64_t)queue->hold_ms));
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_entry_that_cannot_be_served_keeps_its_place,
			open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_earliest_target_is_served_first, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_missed_targets_are_served_last, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_lower_priority_adds_a_delay, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(test_control_is_served_first,
						open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_burst_is_rejected_at_once_or_served_in_time,
			open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_estimate_follows_slow_servers, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_hot_customer_takes_no_other_share, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_unused_share_goes_to_the_others, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_late_customer_gets_no_more_than_its_share,
			open_queue, close_queue),
		cmocka_unit_test_setup_teardown(test_last_class_is_not_starved,
						open_queue, close_queue),
		cmocka_unit_test_setup_teardown(test_open_transactions_go_first,
						open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_full_queue_rejects_the_hot_customer_alone,
			open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_returned_entry_keeps_its_turn, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_order_without_customers_is_as_before, open_queue,
			close_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
