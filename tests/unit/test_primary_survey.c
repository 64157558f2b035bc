#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/primary_survey.h"

#define LATE SURVEY_WAIT_MS

/* Three servers of term 3, of which "a" is the known primary. */
typedef struct {
	survey_known_t known;
	survey_server_t servers[3];
} service_t;

static service_t healthy(void)
{
	service_t service = {
		.known = {.term = 3, .primary = "a"},
		.servers = {{.id = "a"}, {.id = "b"}, {.id = "c"}}};

	for (int i = 0; i < 3; i++)
		service.servers[i].status = (takeover_status_t){
			.answered = true,
			.role = i ? SERVER_REPLICA : SERVER_PRIMARY,
			.term = 3,
		};
	return service;
}

static survey_t survey(const service_t *service, uint64_t waited_ms)
{
	return primary_survey(&service->known, service->servers, 3, waited_ms);
}

/* Has one server promoted, which the others have noticed. */
static void promote(service_t *service, int index, uint64_t term)
{
	for (int i = 0; i < 3; i++) {
		service->servers[i].status.term = term;
		service->servers[i].status.role =
			i == index ? SERVER_PRIMARY : SERVER_REPLICA;
	}
}

static void test_healthy_service_is_agreed_at_once(void **state)
{
	const service_t service = healthy();
	const survey_t found = survey(&service, 0);

	assert_int_equal(found.result, SURVEY_AGREED);
	assert_int_equal(found.term, 3);
	assert_string_equal(found.primary, "a");
}

/* The copy does not know it; it is neither undone nor repeated. */
static void test_lost_promotion_is_found_at_the_servers(void **state)
{
	service_t service = healthy();
	survey_t found;

	promote(&service, 1, 4);
	found = survey(&service, 0);
	assert_int_equal(found.result, SURVEY_AGREED);
	assert_int_equal(found.term, 4);
	assert_string_equal(found.primary, "b");
}

static void test_old_primary_beside_a_new_one_is_unclear(void **state)
{
	service_t service = healthy();

	promote(&service, 1, 4);
	service.servers[0].status.term = 3;
	service.servers[0].status.role = SERVER_PRIMARY;
	assert_int_equal(survey(&service, 0).result, SURVEY_WAITING);
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
	assert_string_equal(survey(&service, LATE).primary, "b");
}

static void test_remembered_promotion_is_not_taken_back(void **state)
{
	service_t service = healthy();

	/* The promoted server "b" is silent, the others know nothing of it. */
	service.known.term = 4;
	service.known.primary = "b";
	service.servers[1].status.answered = false;
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
	assert_int_equal(survey(&service, LATE).term, 4);
}

static void test_remembered_takeover_is_unclear(void **state)
{
	service_t service = healthy();

	service.known.takeover = true;
	assert_int_equal(survey(&service, 0).result, SURVEY_WAITING);
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
}

static void test_fence_of_a_lost_takeover_is_unclear(void **state)
{
	service_t service = healthy();

	service.servers[2].status.fence = 4;
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
}

static void test_silent_replica_is_waited_for(void **state)
{
	service_t service = healthy();

	service.servers[2].status.answered = false;
	assert_int_equal(survey(&service, LATE - 1).result, SURVEY_WAITING);
	assert_int_equal(survey(&service, LATE).result, SURVEY_AGREED);
}

static void test_silent_primary_is_unclear(void **state)
{
	service_t service = healthy();

	service.servers[0].status.answered = false;
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
}

/* Both replicas may follow a server promoted meanwhile. */
static void test_lone_primary_is_unclear(void **state)
{
	service_t service = healthy();

	service.servers[1].status.answered = false;
	service.servers[2].status.answered = false;
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
}

static void test_service_of_one_server_is_agreed(void **state)
{
	const service_t service = healthy();
	const survey_t found =
		primary_survey(&service.known, service.servers, 1, 0);

	assert_int_equal(found.result, SURVEY_AGREED);
}

static void test_newer_term_needs_all_servers(void **state)
{
	service_t service = healthy();

	promote(&service, 1, 4);
	service.servers[2].status.answered = false;
	assert_int_equal(survey(&service, LATE).result, SURVEY_UNCLEAR);
}

/*
 * 9 of 100 services that appeared at once got a record without a primary: their
 * primaries' answers came after the others had been waited for.
 */
static void test_polls_of_many_services_are_spread(void **state)
{
	static const uint32_t services[] = {100, 300, 1600};

	assert_int_equal(primary_survey_polls_max(8), 8);
	assert_int_equal(primary_survey_polls_max(PRIMARY_SURVEY_POLLS_MIN),
			 PRIMARY_SURVEY_POLLS_MIN);
	for (uint32_t i = 0; i < sizeof(services) / sizeof(*services); i++) {
		const uint32_t polls = primary_survey_polls_max(services[i]);

		/* All are polled once within 20 steps. */
		assert_in_range(polls, services[i] / 20 + 1, services[i] / 12);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_healthy_service_is_agreed_at_once),
		cmocka_unit_test(test_lost_promotion_is_found_at_the_servers),
		cmocka_unit_test(test_old_primary_beside_a_new_one_is_unclear),
		cmocka_unit_test(test_remembered_promotion_is_not_taken_back),
		cmocka_unit_test(test_remembered_takeover_is_unclear),
		cmocka_unit_test(test_fence_of_a_lost_takeover_is_unclear),
		cmocka_unit_test(test_silent_replica_is_waited_for),
		cmocka_unit_test(test_silent_primary_is_unclear),
		cmocka_unit_test(test_lone_primary_is_unclear),
		cmocka_unit_test(test_service_of_one_server_is_agreed),
		cmocka_unit_test(test_newer_term_needs_all_servers),
		cmocka_unit_test(test_polls_of_many_services_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
