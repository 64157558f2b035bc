#include "standin/backend/journal.h"

change_t *change_new(change_kind_t kind, const char *table, const char *key,
		     const char *value)
{
	change_t *change = g_new0(change_t, 1);

	change->kind = kind;
	change->table = g_strdup(table);
	change->key = g_strdup(key);
	change->value = g_strdup(value);
	return change;
}

void change_delete(void *data)
{
	change_t *change = data;

	g_free(change->table);
	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

static void record_delete(void *data)
{
	record_t *record = data;

	g_ptr_array_unref(record->changes);
	g_free(record);
}

record_t *record_new(uint64_t term, uint64_t arrived_ms, GPtrArray *changes)
{
	record_t *record = g_new0(record_t, 1);

	record->term = term;
	record->arrived_ms = arrived_ms;
	record->changes = changes;
	return record;
}

json_t *record_to_json(const record_t *record)
{
	json_t *changes = json_array();

	for (guint i = 0; i < record->changes->len; i++) {
		const change_t *change = record->changes->pdata[i];

		json_array_append_new(
			changes,
			json_pack("[i,s,s?,s?]", (int)change->kind,
				  change->table, change->key, change->value));
	}
	return json_pack("{s:I,s:o}", "t", (json_int_t)record->term, "c",
			 changes);
}

record_t *record_from_json(const json_t *node, uint64_t arrived_ms)
{
	const json_t *list = json_object_get(node, "c");
	const json_t *term = json_object_get(node, "t");
	GPtrArray *changes;

	if (!json_is_array(list) || !json_is_integer(term))
		return NULL;
	changes = g_ptr_array_new_with_free_func(change_delete);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);
		change_kind_t kind = (change_kind_t)json_integer_value(
			json_array_get(item, 0));

		g_ptr_array_add(
			changes,
			change_new(kind,
				   json_string_value(json_array_get(item, 1)),
				   json_string_value(json_array_get(item, 2)),
				   json_string_value(json_array_get(item, 3))));
	}
	return record_new((uint64_t)json_integer_value(term), arrived_ms,
			  changes);
}

void journal_open(journal_t *journal)
{
	journal->records = g_ptr_array_new_with_free_func(record_delete);
}

void journal_close(journal_t *journal)
{
	g_ptr_array_unref(journal->records);
	journal->records = NULL;
}

log_point_t journal_append(journal_t *journal, record_t *record)
{
	g_ptr_array_add(journal->records, record);
	return journal_end(journal);
}

log_point_t journal_end(const journal_t *journal)
{
	const record_t *last = journal_at(journal, journal->records->len);

	if (!last)
		return (log_point_t){0, 0};
	return (log_point_t){last->term, journal->records->len};
}

const record_t *journal_at(const journal_t *journal, uint64_t position)
{
	if (position < 1 || position > journal->records->len)
		return NULL;
	return journal->records->pdata[position - 1];
}

json_t *journal_term_ends(const journal_t *journal)
{
	json_t *term_ends = json_array();

	for (uint64_t i = 1; i <= journal->records->len; i++) {
		const record_t *record = journal_at(journal, i);
		const record_t *next = journal_at(journal, i + 1);

		if (!next || next->term != record->term)
			json_array_append_new(
				term_ends,
				json_pack("[I,I]", (json_int_t)record->term,
					  (json_int_t)i));
	}
	return term_ends;
}

/* @return last position of @p term, or 0 if the log has no record of it. */
static uint64_t last_position_of_term(const journal_t *journal, uint64_t term)
{
	for (uint64_t i = journal->records->len; i > 0; i--) {
		const record_t *record = journal_at(journal, i);

		if (record->term == term)
			return i;
		if (record->term < term)
			return 0;
	}
	return 0;
}

uint64_t journal_common_position(const journal_t *journal,
				 const json_t *term_ends)
{
	for (size_t i = json_array_size(term_ends); i > 0; i--) {
		const json_t *item = json_array_get(term_ends, i - 1);
		uint64_t term =
			(uint64_t)json_integer_value(json_array_get(item, 0));
		uint64_t theirs =
			(uint64_t)json_integer_value(json_array_get(item, 1));
		uint64_t ours = last_position_of_term(journal, term);

		if (ours)
			return MIN(ours, theirs);
	}
	return 0;
}

void journal_truncate(journal_t *journal, uint64_t position)
{
	if (position < journal->records->len)
		g_ptr_array_set_size(journal->records, (gint)position);
}
