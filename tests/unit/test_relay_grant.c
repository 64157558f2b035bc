#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/log.h"
#include "fake_line_node.h"
#include "relay/relay_grant.h"

/* Server ids with the characters that separate the fields of an offer. */
static const char *const odd_ids[] = {
	"i:1", "i,1", "i%2C", "i,svc:9:i-9:900", "k\xc4\x81", "i-1"};

static void set_primary(fake_line_node_t *node, uint64_t term, const char *id)
{
	relay_service_set_primary(relay_services_find(node->services, "svc"),
				  term, id, false, 1);
}

static uint64_t granted_until_ms(const fake_line_node_t *node)
{
	return relay_service_lease(relay_services_find(node->services, "svc"))
		->granted_until_ms;
}

/* The proof of such a primary did not arrive. */
static void test_proof_of_any_id_arrives(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_ids); i++) {
		fake_line_node_t *from = fake_line_node_create();
		fake_line_node_t *to = fake_line_node_create();
		const uint64_t now_ms = clock_boot_ms();
		g_autofree char *offer = NULL;

		set_primary(from, 2, odd_ids[i]);
		set_primary(to, 2, odd_ids[i]);
		offer = relay_grant_offer(from->services, now_ms);
		assert_true(relay_grant_apply(to->services, offer, now_ms));
		assert_true(granted_until_ms(to) > now_ms);
		fake_line_node_destroy(from);
		fake_line_node_destroy(to);
	}
}

/* An id that contains a whole offer proved another primary. */
static void test_id_forges_no_proof(void **state)
{
	fake_line_node_t *from = fake_line_node_create();
	fake_line_node_t *to = fake_line_node_create();
	const uint64_t now_ms = clock_boot_ms();
	g_autofree char *offer = NULL;

	set_primary(from, 2, "i-1:900,svc:9:i-9");
	set_primary(to, 9, "i-9");
	offer = relay_grant_offer(from->services, now_ms);
	relay_grant_apply(to->services, offer, now_ms);
	assert_int_equal(granted_until_ms(to), 0);
	fake_line_node_destroy(from);
	fake_line_node_destroy(to);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_proof_of_any_id_arrives),
		cmocka_unit_test(test_id_forges_no_proof),
	};

	log_open("test", LOG_LEVEL_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
