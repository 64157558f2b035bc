#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/statement_cache.h"

typedef struct {
	const char *sql;
	statement_class_t expected;
} example_t;

static const example_t examples[] = {
	{"", STATEMENT_EMPTY},
	{"-- only a comment", STATEMENT_EMPTY},
	{"SELECT * FROM pairing WHERE id = 7", STATEMENT_READ},
	{"select count(*), lower(name) from a join b using (id)",
	 STATEMENT_READ},
	{"WITH a AS (SELECT 1) SELECT * FROM a", STATEMENT_READ},
	{"VALUES (1), (2)", STATEMENT_READ},
	{"SELECT abs(1), width_bucket(1, 2, 3, 4), avg(a) FROM b",
	 STATEMENT_READ},
	{"SHOW server_version", STATEMENT_READ},
	{"SELECT pg_catalog.current_schema()", STATEMENT_READ},
	{"EXPLAIN SELECT 1", STATEMENT_READ},
	{"SELECT 1; SELECT 2", STATEMENT_READ},
	{"SELECT * FROM pairing FOR UPDATE", STATEMENT_WRITE},
	{"SELECT * FROM (SELECT * FROM a FOR SHARE) b", STATEMENT_WRITE},
	{"SELECT 1 INTO made", STATEMENT_WRITE},
	{"WITH a AS (DELETE FROM b RETURNING *) SELECT * FROM a",
	 STATEMENT_WRITE},
	{"SELECT nextval('s')", STATEMENT_WRITE},
	{"SELECT pg_catalog.setval('s', 1)", STATEMENT_WRITE},
	{"SELECT 1 WHERE book(7)", STATEMENT_WRITE},
	{"SELECT shop.count(1)", STATEMENT_WRITE},
	{"SELECT pg_advisory_xact_lock(1)", STATEMENT_WRITE},
	{"EXPLAIN ANALYZE DELETE FROM a", STATEMENT_WRITE},
	{"INSERT INTO a VALUES (1)", STATEMENT_WRITE},
	{"SELECT 1; DELETE FROM a", STATEMENT_WRITE},
	{"CREATE TABLE a (b int)", STATEMENT_WRITE},
	{"SELEC 1", STATEMENT_WRITE},
	{"BEGIN", STATEMENT_BEGIN},
	{"START TRANSACTION READ ONLY", STATEMENT_BEGIN},
	{"COMMIT", STATEMENT_COMMIT},
	{"END", STATEMENT_COMMIT},
	{"ROLLBACK", STATEMENT_ROLLBACK},
	{"ABORT", STATEMENT_ROLLBACK},
	{"ROLLBACK TO a", STATEMENT_SAVEPOINT},
	{"SAVEPOINT a", STATEMENT_SAVEPOINT},
	{"SET LOCAL lock_timeout = 1", STATEMENT_SAVEPOINT},
	{"SET toucanhook.token = 'a:1:2'", STATEMENT_SET},
	{"SET search_path TO a, b", STATEMENT_SET},
	{"RESET toucanhook.token", STATEMENT_RESET},
	{"SET toucanhook.token TO DEFAULT", STATEMENT_RESET},
	{"DISCARD ALL", STATEMENT_RESET},
	{"SHOW toucanhook.token", STATEMENT_SHOW},
	{"LISTEN a", STATEMENT_REFUSED},
	{"COPY a FROM STDIN", STATEMENT_REFUSED},
	{"PREPARE a AS SELECT 1", STATEMENT_REFUSED},
	{"CREATE TEMP TABLE a (b int)", STATEMENT_REFUSED},
	{"SELECT 1 INTO TEMP a", STATEMENT_REFUSED},
	{"CREATE TABLE pg_temp.a (b int)", STATEMENT_REFUSED},
	{"SELECT set_config('a.b', 'c', false)", STATEMENT_REFUSED},
	{"EXPLAIN ANALYZE SELECT pg_advisory_lock(1)", STATEMENT_REFUSED},
	{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", STATEMENT_REFUSED},
	{"SELECT pg_advisory_lock(1)", STATEMENT_REFUSED},
	{"PREPARE TRANSACTION 'a'", STATEMENT_REFUSED},
	{"COMMIT AND CHAIN", STATEMENT_REFUSED},
	{"BEGIN; DELETE FROM a; COMMIT", STATEMENT_REFUSED},
	{"SELECT 1; SET a = 1", STATEMENT_REFUSED},
};

static void test_statements_are_classified(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(examples); i++) {
		g_autoptr(statement_t) statement =
			statement_parse(examples[i].sql);

		if (statement->statement_class != examples[i].expected)
			fail_msg("%s: class %d, expected %d", examples[i].sql,
				 statement->statement_class,
				 examples[i].expected);
		if (statement->statement_class == STATEMENT_REFUSED)
			assert_non_null(statement->reason);
	}
}

static void test_names_values_and_flags_are_parsed(void **state)
{
	g_autoptr(statement_t) set =
		statement_parse("SET Toucanhook.Max_Age_ms TO 250");
	g_autoptr(statement_t) begin =
		statement_parse("BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY");
	g_autoptr(statement_t) invalid = statement_parse("SELEC 1");

	assert_string_equal(set->name, "toucanhook.max_age_ms");
	assert_string_equal(set->value, "250");
	assert_true(begin->read_only);
	assert_false(invalid->parsed);
}

static void test_deeply_nested_text_is_a_write(void **state)
{
	g_autoptr(GString) sql = g_string_new("SELECT ");
	g_autoptr(statement_t) statement = NULL;
	int i;

	for (i = 0; i < 20000; i++)
		g_string_append_c(sql, '(');
	statement = statement_parse(sql->str);
	assert_int_equal(statement->statement_class, STATEMENT_WRITE);
}

static void test_cache_keeps_recently_used_texts(void **state)
{
	statement_cache_t *cache = statement_cache_create(2);
	g_autoptr(statement_t) first = statement_cache_parse(cache, "SELECT 1");
	int i;

	for (i = 0; i < 5; i++) {
		g_autofree char *sql = g_strdup_printf("SELECT %d", i + 2);
		g_autoptr(statement_t) again =
			statement_cache_parse(cache, "SELECT 1");
		g_autoptr(statement_t) other =
			statement_cache_parse(cache, sql);

		assert_ptr_equal(again, first);
		assert_int_equal(statement_cache_count(cache), 2);
	}
	statement_cache_destroy(cache);
	assert_int_equal(first->statement_class, STATEMENT_READ);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_statements_are_classified),
		cmocka_unit_test(test_names_values_and_flags_are_parsed),
		cmocka_unit_test(test_deeply_nested_text_is_a_write),
		cmocka_unit_test(test_cache_keeps_recently_used_texts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
