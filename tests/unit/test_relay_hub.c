#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/clock.h"
#include "relay/relay_hub.h"

/* A node that follows the hub; it asks again after each answer. */
typedef struct {
	relay_hub_subscriber_t *subscriber;
	hub_request_t request;
	uint32_t answers;
	uint32_t proofs; /* answers with a proof of all primaries */
} node_t;

typedef struct {
	struct event_base *base;
	relay_services_t *services;
	catalog_t *catalog;
	relay_hub_t *hub;
	node_t nodes[3];
} fixture_t;

static const endpoint_t *no_hub(void *context, const char *server,
				uint32_t failures)
{
	return NULL;
}

static void on_reply(void *context, const GPtrArray *rows)
{
	node_t *node = context;
	g_autoptr(hub_answer_t) answer = hub_answer_decode(rows, NULL);

	assert_non_null(answer);
	node->answers++;
	node->proofs += answer->until_ms != 0;
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		node->request.revisions[i] = answer->changes[i].revision;
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	catalog_service_t *service = g_new0(catalog_service_t, 1);

	fixture->base = event_base_new();
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.node = "node-1",
		.failure_domain = "akl-a",
		.hub = no_hub,
	});
	fixture->catalog = catalog_new();
	service->name = g_strdup("svc");
	catalog_add_service(fixture->catalog, service);
	relay_services_configure(fixture->services, fixture->catalog);
	fixture->hub = relay_hub_create(fixture->services);
	for (uint32_t i = 0; i < G_N_ELEMENTS(fixture->nodes); i++) {
		node_t *node = &fixture->nodes[i];

		node->subscriber = relay_hub_join(fixture->hub, on_reply, node);
		relay_hub_request(node->subscriber, &node->request);
	}
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	for (uint32_t i = 0; i < G_N_ELEMENTS(fixture->nodes); i++)
		relay_hub_leave(fixture->nodes[i].subscriber);
	relay_hub_destroy(fixture->hub);
	relay_services_destroy(fixture->services);
	catalog_unref(fixture->catalog);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

static void read_store(fixture_t *fixture)
{
	relay_hub_synced(fixture->hub, HUB_STREAM_CATALOG, 7);
	relay_hub_synced(fixture->hub, HUB_STREAM_PRIMARIES, 7);
}

/* The lease is registered, and the records are read after that. */
static void register_lease(fixture_t *fixture, int64_t revision)
{
	relay_services_lease(fixture->services)->registered_at = revision;
	node_lease_renewed(relay_services_lease(fixture->services),
			   clock_boot_ms());
	relay_service_set_primary(relay_services_find(fixture->services, "svc"),
				  1, "i-1", false, revision);
}

static void assert_answers(const fixture_t *fixture, uint32_t answers,
			   uint32_t proofs)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(fixture->nodes); i++) {
		assert_int_equal(fixture->nodes[i].answers, answers);
		assert_int_equal(fixture->nodes[i].proofs, proofs);
	}
}

/*
 * All nodes of a domain start at once and ask the hub while it still reads the
 * store. They were turned away every 50 ms until the hub was registered.
 */
static void test_requests_wait_until_the_store_was_read(void **state)
{
	fixture_t *fixture = *state;

	assert_answers(fixture, 0, 0);
	relay_hub_synced(fixture->hub, HUB_STREAM_CATALOG, 7);
	assert_answers(fixture, 0, 0);
	relay_hub_synced(fixture->hub, HUB_STREAM_PRIMARIES, 7);
	assert_answers(fixture, 1, 0);
}

/*
 * The configuration is passed on before the hub has registered. A hub that then
 * held the next requests for their 400 ms would pass its first proof on late.
 */
static void test_first_proof_is_passed_on_at_once(void **state)
{
	fixture_t *fixture = *state;

	read_store(fixture);
	for (uint32_t i = 0; i < G_N_ELEMENTS(fixture->nodes); i++)
		relay_hub_request(fixture->nodes[i].subscriber,
				  &fixture->nodes[i].request);
	assert_answers(fixture, 1, 0);
	register_lease(fixture, 7);
	relay_hub_synced(fixture->hub, HUB_STREAM_PRIMARIES, 7);
	assert_answers(fixture, 2, 1);
}

static void on_settled(void *context, int64_t revision)
{
}

/* A registered hub that has not read its records yet proves nothing. */
static void test_hub_without_records_gives_no_proof(void **state)
{
	fixture_t *fixture = *state;

	register_lease(fixture, 7);
	relay_hub_synced(fixture->hub, HUB_STREAM_CATALOG, 7);
	assert_answers(fixture, 0, 0);
	relay_hub_settle(fixture->hub, 5, on_settled, NULL);
	assert_answers(fixture, 0, 0);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_requests_wait_until_the_store_was_read),
		TEST(test_first_proof_is_passed_on_at_once),
		TEST(test_hub_without_records_gives_no_proof),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
