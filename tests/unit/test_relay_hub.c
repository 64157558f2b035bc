#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "coordination/owner.h"
#include "relay/relay_hub.h"

/* A node that follows the hub; it asks again after each answer. */
typedef struct {
	relay_hub_subscriber_t *subscriber;
	hub_request_t request;
	uint32_t answers;
	uint32_t proofs;     /* answers with a proof of all primaries */
	uint32_t bytes;	     /* size of the last answer */
	uint32_t points;     /* points in the last answer */
	uint32_t own_proofs; /* proofs of single primaries in it */
	bool takes_names;    /* the last answer allows names */
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
	node->bytes = 0;
	for (guint i = 0; i < rows->len; i++)
		node->bytes += strlen(rows->pdata[i]);
	node->points = answer->samples->len;
	node->own_proofs = answer->proofs->len;
	node->takes_names = answer->takes_names;
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

/* Number of services of the platform at its full size. */
#define SERVICES_MANY 1600

/* Number of them that the node uses. */
#define SERVICES_USED 10

static relay_service_t *numbered(const fixture_t *fixture, uint32_t number)
{
	g_autofree char *name = g_strdup_printf("service-%u", number);

	return relay_services_find(fixture->services, name);
}

/* Adds services; the log of each primary has just reached a point. */
static void add_services(fixture_t *fixture)
{
	for (uint32_t i = 0; i < SERVICES_MANY; i++) {
		catalog_service_t *service = g_new0(catalog_service_t, 1);

		service->name = g_strdup_printf("service-%u", i);
		catalog_add_service(fixture->catalog, service);
	}
	relay_services_configure(fixture->services, fixture->catalog);
	for (uint32_t i = 0; i < SERVICES_MANY; i++) {
		relay_service_t *service = numbered(fixture, i);

		relay_service_set_primary(service, 1, "i-1", false, 7);
		point_samples_add(relay_service_samples(service),
				  clock_boot_ms(), (log_point_t){1, 99});
	}
}

static void name_services(hub_request_t *request, uint32_t first)
{
	request->named = true;
	request->added.count = 0;
	for (uint32_t i = first; i < first + SERVICES_USED; i++) {
		g_autofree char *name = g_strdup_printf("service-%u", i);

		service_keys_add(&request->added, owner_key(name));
	}
}

/*
 * A hub sent each of 50 nodes a line for each of 1,600 services 2.5 times a
 * second: 45 KB x 50 x 2.5 = 5.6 MB/s.
 */
static void test_only_named_services_are_sent(void **state)
{
	fixture_t *fixture = *state;
	node_t *node = &fixture->nodes[0];

	add_services(fixture);
	read_store(fixture);
	assert_int_equal(node->points, SERVICES_MANY);
	assert_in_range(node->bytes, 40000, 100000);
	assert_true(node->takes_names);

	name_services(&node->request, 0);
	relay_hub_request(node->subscriber, &node->request);
	assert_int_equal(node->answers, 2);
	assert_int_equal(node->points, SERVICES_USED);
	assert_in_range(node->bytes, 1, 1000);

	/* Others, and the same without a newer point. */
	name_services(&node->request, SERVICES_USED);
	relay_hub_request(node->subscriber, &node->request);
	assert_int_equal(node->answers, 3);
	assert_int_equal(node->points, SERVICES_USED);
	node->request.removed = node->request.added;
	name_services(&node->request, 0);
	relay_hub_request(node->subscriber, &node->request);
	assert_int_equal(node->points, 0);
	assert_in_range(node->bytes, 1, 100);
}

/* A node of an earlier version names nothing, also on a new connection. */
static void test_without_names_all_services_are_sent(void **state)
{
	fixture_t *fixture = *state;
	node_t *node = &fixture->nodes[1];

	add_services(fixture);
	read_store(fixture);
	relay_hub_synced(fixture->hub, HUB_STREAM_CATALOG, 8);
	relay_hub_request(node->subscriber, &node->request);
	relay_hub_synced(fixture->hub, HUB_STREAM_CATALOG, 9);
	assert_int_equal(node->answers, 2);
	assert_int_equal(node->points, SERVICES_MANY);
}

/* While the store renews no lease, each service has a proof of its own. */
static void test_named_services_have_their_proofs(void **state)
{
	fixture_t *fixture = *state;
	node_t *node = &fixture->nodes[0];
	const uint64_t now_ms = clock_boot_ms();

	add_services(fixture);
	relay_services_lease(fixture->services)->registered_at = 5;
	for (uint32_t i = 0; i < SERVICES_MANY; i++)
		primary_lease_granted(relay_service_lease(numbered(fixture, i)),
				      1, "i-1",
				      now_ms + PRIMARY_LEASE_VALID_MS);
	read_store(fixture);
	name_services(&node->request, 0);
	relay_hub_request(node->subscriber, &node->request);
	assert_int_equal(node->own_proofs, SERVICES_USED);
}

/* A site with few services is not asked to name any. */
static void test_few_services_need_no_names(void **state)
{
	fixture_t *fixture = *state;

	read_store(fixture);
	assert_false(fixture->nodes[0].takes_names);
}

/* Answers must not make a hub keep 1.5 KB of points for each unused service. */
static void test_services_without_points_get_no_memory(void **state)
{
	fixture_t *fixture = *state;

	read_store(fixture);
	assert_int_equal(fixture->nodes[0].answers, 1);
	assert_false(relay_service_has_samples(
		relay_services_find(fixture->services, "svc")));
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_requests_wait_until_the_store_was_read),
		TEST(test_first_proof_is_passed_on_at_once),
		TEST(test_hub_without_records_gives_no_proof),
		TEST(test_only_named_services_are_sent),
		TEST(test_without_names_all_services_are_sent),
		TEST(test_named_services_have_their_proofs),
		TEST(test_few_services_need_no_names),
		TEST(test_services_without_points_get_no_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
