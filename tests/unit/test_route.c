#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/retry.h"
#include "coordination/route.h"

#define CATCH_UP_MS 100u

static config_server_t servers[] = {
	{.name = "s-a", .failure_domain = "akl-a"},
	{.name = "s-b", .failure_domain = "wlg-a"},
	{.name = "s-c", .failure_domain = "chc-a"},
};
static config_database_t database = {.name = "pairs",
				     .servers = servers,
				     .servers_count = 3};
static config_service_t service = {.name = "match",
				   .databases = &database,
				   .databases_count = 1};
static const config_t config = {.limits = {.catch_up_ms = CATCH_UP_MS},
				.services = &service,
				.services_count = 1};

static route_t *route_new(const char *failure_domain)
{
	route_t *route = route_create(failure_domain);

	route_configure(route, &config);
	return route;
}

static route_query_t read_query(log_point_t at_least)
{
	return (route_query_t){
		.database = "pairs",
		.kind = REQUEST_READ,
		.at_least = at_least,
		.view = {.term = 3, .primary = "s-a"},
	};
}

static void test_write_goes_to_the_primary_of_the_view(void **state)
{
	route_t *route = route_new("wlg-a");
	route_query_t query = read_query((log_point_t){0});
	route_choice_t choice;

	query.kind = REQUEST_WRITE;
	choice = route_choose(route, &query, 0);
	assert_int_equal(choice.kind, ROUTE_PRIMARY);
	assert_string_equal(choice.server->name, "s-a");
	assert_int_equal(choice.term, 3);
	query.view.primary[0] = '\0';
	assert_int_equal(route_choose(route, &query, 0).kind, ROUTE_WAIT);
	route_destroy(route);
}

static void test_read_prefers_the_replica_of_its_domain(void **state)
{
	route_t *route = route_new("chc-a");
	const route_query_t query = read_query((log_point_t){3, 10});

	for (int i = 0; i < 6; i++) {
		const route_choice_t choice = route_choose(route, &query, 0);

		assert_int_equal(choice.kind, ROUTE_REPLICA);
		assert_string_equal(choice.server->name, "s-c");
		assert_int_equal(choice.term, 0);
	}
	route_destroy(route);
}

static void test_read_avoids_replicas_that_will_not_catch_up(void **state)
{
	const log_point_t old = {3, 10};
	const log_point_t fresh = {3, 20};
	const route_query_t query = read_query(fresh);
	route_t *route = route_new("chc-a");

	route_point_seen(route, "pairs", old, 1000);
	route_point_seen(route, "pairs", fresh, 1000 + 3 * CATCH_UP_MS);
	/* s-c lacks a point that is 2 * CATCH_UP_MS old, s-b lacks nothing. */
	route_answered(route, "pairs", "s-c", REASON_BEHIND, old, 0,
		       1000 + 5 * CATCH_UP_MS);
	route_answered(route, "pairs", "s-b", REASON_NONE, fresh, 1,
		       1000 + 5 * CATCH_UP_MS);
	assert_string_equal(route_choose(route, &query, 1000 + 3 * CATCH_UP_MS)
				    .server->name,
			    "s-b");
	/* After its estimated lag the replica of the own domain is used again.
	 */
	assert_string_equal(route_choose(route, &query, 1000 + 9 * CATCH_UP_MS)
				    .server->name,
			    "s-c");
	route_destroy(route);
}

/*
 * A read that times out at a lagging replica shows only a lower bound of the
 * lag. Unless the estimate grows beyond the maximum wait, every read would
 * wait there again.
 */
static void test_reads_stop_waiting_for_a_replica_that_lags(void **state)
{
	route_t *route = route_new("chc-a");
	uint64_t now_ms = 1000;
	uint32_t waited = 0;

	for (uint64_t write = 1; write <= 20; write++) {
		const log_point_t point = {3, write};
		const log_point_t before = {3, write - 1};
		const route_query_t query = read_query(point);
		route_choice_t choice;

		route_point_seen(route, "pairs", point, now_ms);
		choice = route_choose(route, &query, now_ms);
		if (choice.kind == ROUTE_REPLICA) {
			waited++;
			now_ms += CATCH_UP_MS;
			route_answered(route, "pairs", choice.server->name,
				       REASON_BEHIND, before, 0, now_ms);
		}
		now_ms += 10 * CATCH_UP_MS;
	}
	/* Each of the two replicas may be tried only a few times. */
	assert_in_range(waited, 1, 4);
	route_destroy(route);
}

static void test_read_waits_at_one_replica_only(void **state)
{
	route_t *route = route_new("chc-a");
	route_query_t query = read_query((log_point_t){3, 10});

	query.tried = 1 << 2;
	assert_int_equal(route_choose(route, &query, 0).kind, ROUTE_PRIMARY);
	route_answered(route, "pairs", "s-b", REASON_NONE, (log_point_t){3, 10},
		       1, 0);
	assert_string_equal(route_choose(route, &query, 0).server->name, "s-b");
	route_destroy(route);
}

static void test_token_of_a_later_term_avoids_the_old_primary(void **state)
{
	route_t *route = route_new("akl-a");
	route_query_t query = read_query((log_point_t){4, 1});

	query.tried = 6;
	assert_int_equal(route_choose(route, &query, 0).kind, ROUTE_WAIT);
	query.at_least.term = 3;
	assert_int_equal(route_choose(route, &query, 0).kind, ROUTE_PRIMARY);
	route_destroy(route);
}

static void test_read_with_maximum_age_needs_a_barrier(void **state)
{
	route_t *route = route_new("akl-a");
	route_query_t query = read_query((log_point_t){0});

	query.max_age_ms = 500;
	query.tried = 6;
	assert_int_equal(route_choose(route, &query, 0).kind, ROUTE_BARRIER);
	route_destroy(route);
}

static void test_failed_replica_is_avoided_for_a_while(void **state)
{
	route_t *route = route_new("chc-a");
	const route_query_t query = read_query((log_point_t){3, 10});

	route_answered(route, "pairs", "s-c", REASON_UNREACHABLE,
		       (log_point_t){0}, 0, 0);
	assert_string_equal(route_choose(route, &query, 1).server->name, "s-b");
	assert_string_equal(route_choose(route, &query, 5000).server->name,
			    "s-c");
	route_destroy(route);
}

static retry_decision_t decide(request_t *request, outcome_t outcome,
			       reason_t reason)
{
	const answer_t answer = {.outcome = outcome, .reason = reason};
	retry_budget_t budget = retry_budget_new();

	return retry_decide(&budget,
			    &(retry_attempt_t){.request = request,
					       .answer = &answer,
					       .attempts = 1,
					       .deadline_ms = 100},
			    0);
}

static void test_only_not_run_is_retried(void **state)
{
	g_autoptr(request_t) request = request_new();

	request->kind = REQUEST_WRITE;
	assert_int_equal(
		decide(request, OUTCOME_UNKNOWN, REASON_LOST_ANSWER).kind,
		RETRY_END);
	assert_int_equal(
		decide(request, OUTCOME_NOT_RUN, REASON_UNREACHABLE).kind,
		RETRY_WAIT_FOR_PRIMARY);
	/* The database itself rejects a second run with the same key. */
	request->request_key = g_strdup("booking-7");
	assert_int_equal(
		decide(request, OUTCOME_UNKNOWN, REASON_LOST_ANSWER).kind,
		RETRY_WAIT_FOR_PRIMARY);
	/* A retry inside a transaction would miss the earlier statements. */
	request->lease_id = 9;
	assert_int_equal(
		decide(request, OUTCOME_NOT_RUN, REASON_UNREACHABLE).kind,
		RETRY_END);
}

static void test_retries_are_a_bounded_share_of_requests(void **state)
{
	const answer_t answer = {.outcome = OUTCOME_NOT_RUN,
				 .reason = REASON_UNREACHABLE};
	g_autoptr(request_t) request = request_new();
	const retry_attempt_t attempt = {.request = request,
					 .answer = &answer,
					 .attempts = 1,
					 .deadline_ms = 100};
	retry_budget_t budget = retry_budget_new();
	uint32_t granted = 0;
	const uint32_t requests = 10000;

	while (retry_decide(&budget, &attempt, 0).kind != RETRY_END)
		;
	for (uint32_t i = 0; i < requests; i++) {
		retry_budget_earn(&budget);
		if (retry_decide(&budget, &attempt, 0).kind != RETRY_END)
			granted++;
	}
	assert_in_range(granted, 1, requests / 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_write_goes_to_the_primary_of_the_view),
		cmocka_unit_test(test_read_prefers_the_replica_of_its_domain),
		cmocka_unit_test(
			test_read_avoids_replicas_that_will_not_catch_up),
		cmocka_unit_test(
			test_reads_stop_waiting_for_a_replica_that_lags),
		cmocka_unit_test(test_read_waits_at_one_replica_only),
		cmocka_unit_test(
			test_token_of_a_later_term_avoids_the_old_primary),
		cmocka_unit_test(test_read_with_maximum_age_needs_a_barrier),
		cmocka_unit_test(test_failed_replica_is_avoided_for_a_while),
		cmocka_unit_test(test_only_not_run_is_retried),
		cmocka_unit_test(test_retries_are_a_bounded_share_of_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
