#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "state/customer_index.h"

#define CUSTOMERS_COUNT 10000

static catalog_customer_t *add_customer(catalog_t *catalog, const char *name,
					const char *key, const char *other_key)
{
	catalog_customer_t *customer = catalog_customer_new(name);

	if (key)
		g_ptr_array_add(customer->keys, g_strdup(key));
	if (other_key)
		g_ptr_array_add(customer->keys, g_strdup(other_key));
	catalog_add_customer(catalog, customer);
	return customer;
}

static const catalog_customer_t *find(const catalog_t *catalog, const char *key)
{
	const customer_key_t hashed = customer_key_of(key);

	return customer_index_find(catalog->keys, &hashed);
}

static void test_each_key_identifies_its_customer(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_new();

	for (int i = 0; i < CUSTOMERS_COUNT; i++) {
		g_autofree char *name = g_strdup_printf("c%d", i);
		g_autofree char *key = g_strdup_printf("key-%d", i);
		g_autofree char *other = g_strdup_printf("other-%d", i);

		add_customer(catalog, name, key, other);
	}
	for (int i = 0; i < CUSTOMERS_COUNT; i++) {
		g_autofree char *name = g_strdup_printf("c%d", i);
		g_autofree char *key = g_strdup_printf("key-%d", i);
		g_autofree char *other = g_strdup_printf("other-%d", i);

		assert_ptr_equal(find(catalog, key),
				 catalog_customer(catalog, name));
		assert_ptr_equal(find(catalog, other),
				 catalog_customer(catalog, name));
	}
	assert_null(find(catalog, "key-10000"));
	assert_null(find(catalog, "key-"));
	assert_null(find(catalog, "c1"));
	assert_int_equal(customer_index_shared(catalog->keys), 0);
}

/* Guards against serving one customer's statements in another's name. */
static void test_shared_key_identifies_nobody(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_new();
	const catalog_customer_t *first =
		add_customer(catalog, "first", "shared", "one");
	const catalog_customer_t *second =
		add_customer(catalog, "second", "two", "shared");

	assert_null(find(catalog, "shared"));
	add_customer(catalog, "third", "shared", NULL);
	assert_null(find(catalog, "shared"));
	assert_ptr_equal(find(catalog, "one"), first);
	assert_ptr_equal(find(catalog, "two"), second);
	assert_int_equal(customer_index_shared(catalog->keys), 1);
}

/* A caller without a key must not match a customer with an empty one. */
static void test_missing_key_identifies_nobody(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_new();

	add_customer(catalog, "a", "", NULL);
	add_customer(catalog, "b", NULL, NULL);
	assert_null(find(catalog, ""));
	assert_null(find(catalog, NULL));
}

static void test_keys_are_bounded(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_new();
	catalog_customer_t *customer = catalog_customer_new("a");

	for (uint32_t i = 0; i < CUSTOMER_INDEX_KEYS_MAX + 3; i++)
		g_ptr_array_add(customer->keys, g_strdup_printf("k%u", i));
	catalog_add_customer(catalog, customer);
	assert_int_equal(customer_index_ignored(catalog->keys), 3);
	assert_ptr_equal(find(catalog, "k0"), customer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_key_identifies_its_customer),
		cmocka_unit_test(test_shared_key_identifies_nobody),
		cmocka_unit_test(test_missing_key_identifies_nobody),
		cmocka_unit_test(test_keys_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
