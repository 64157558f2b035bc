#include "protocol/batch.h"

#include <string.h>

#include "protocol/prepared.h"

#define SLOT_NAME_SIZE 16 /* "th", the slot's number and zero */

struct batch {
	statement_cache_t *cache;
	prepared_table_t *prepared;
	GHashTable *slots;   /* caller's statement name -> slot, from 1 */
	guint slots_count;   /* slots in use, also by names since closed */
	GHashTable *portals; /* portal name -> prepared_t */
	GPtrArray *used;     /* prepared_t that steps refer to */
	GArray *steps;	     /* batch_step_t */
	GByteArray *bytes;   /* messages to send, without Sync */
	GByteArray *parses;  /* hidden flag of each expected ParseComplete */
	GByteArray *closes;  /* hidden flag of each expected CloseComplete */
	guint parses_seen;   /* ParseComplete answers filtered so far */
	guint closes_seen;   /* CloseComplete answers filtered so far */
	uint32_t hidden;     /* hidden answers that are still expected */
};

batch_t *batch_create(statement_cache_t *cache)
{
	batch_t *batch = g_new0(batch_t, 1);

	batch->cache = cache;
	batch->prepared = prepared_table_create();
	batch->slots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	batch->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       prepared_unref);
	batch->used = g_ptr_array_new_with_free_func(prepared_unref);
	batch->steps = g_array_new(FALSE, FALSE, sizeof(batch_step_t));
	batch->bytes = g_byte_array_new();
	batch->parses = g_byte_array_new();
	batch->closes = g_byte_array_new();
	return batch;
}

void batch_destroy(batch_t *batch)
{
	if (!batch)
		return;
	prepared_table_destroy(batch->prepared);
	g_hash_table_destroy(batch->slots);
	g_hash_table_destroy(batch->portals);
	g_ptr_array_unref(batch->used);
	g_array_unref(batch->steps);
	g_byte_array_unref(batch->bytes);
	g_byte_array_unref(batch->parses);
	g_byte_array_unref(batch->closes);
	g_free(batch);
}

static bool fail(batch_error_t *error, const char *sqlstate,
		 const char *message)
{
	error->sqlstate = sqlstate;
	error->message = message;
	return false;
}

static bool fail_format(batch_error_t *error)
{
	return fail(error, "08P01", "invalid message format");
}

/* Records whether the next expected answer of a kind is hidden. */
static void expect_answer(batch_t *batch, GByteArray *answers, bool hide)
{
	const guint8 flag = hide;

	g_byte_array_append(answers, &flag, 1);
	batch->hidden += hide;
}

static void slot_name(char *name, guint slot)
{
	g_snprintf(name, SLOT_NAME_SIZE, "th%u", slot);
}

static void write_close(batch_t *batch, guint slot, bool hide)
{
	const size_t mark = pg_write_begin(batch->bytes, 'C');
	char name[SLOT_NAME_SIZE];

	slot_name(name, slot);
	pg_write_u8(batch->bytes, 'S');
	pg_write_string(batch->bytes, name);
	pg_write_end(batch->bytes, mark);
	expect_answer(batch, batch->closes, hide);
}

/*
 * Writes a Parse of the slot's name. A Close precedes it: an earlier batch may
 * have left a statement of that name on the connection.
 */
static void write_parse(batch_t *batch, guint slot, const prepared_t *prepared,
			bool hide)
{
	gsize size_bytes = 0;
	const guint8 *tail = g_bytes_get_data(prepared->tail, &size_bytes);
	char name[SLOT_NAME_SIZE];
	size_t mark;

	write_close(batch, slot, true);
	slot_name(name, slot);
	mark = pg_write_begin(batch->bytes, 'P');
	pg_write_string(batch->bytes, name);
	g_byte_array_append(batch->bytes, tail, (guint)size_bytes);
	pg_write_end(batch->bytes, mark);
	expect_answer(batch, batch->parses, hide);
}

/* @return the slot of @p name, allocated if necessary; 0 if all are in use */
static guint slot_get(batch_t *batch, const char *name, bool *is_new)
{
	guint slot = GPOINTER_TO_UINT(g_hash_table_lookup(batch->slots, name));

	*is_new = !slot;
	if (slot)
		return slot;
	if (batch->slots_count >= BATCH_SLOTS_MAX)
		return 0;
	slot = ++batch->slots_count;
	g_hash_table_insert(batch->slots, g_strdup(name),
			    GUINT_TO_POINTER(slot));
	return slot;
}

static void add_step(batch_t *batch, char type, char target,
		     prepared_t *prepared)
{
	const batch_step_t step = {
		.type = type,
		.target = target,
		.statement = prepared ? prepared->statement : NULL,
	};

	if (prepared)
		g_ptr_array_add(batch->used, prepared_ref(prepared));
	g_array_append_val(batch->steps, step);
}

/*
 * Inserts a Parse of the statement before its first use in this batch.
 *
 * @return its slot, or 0 with @p error set
 */
static guint use_statement(batch_t *batch, const char *name,
			   prepared_t **prepared, batch_error_t *error)
{
	bool is_new = false;
	guint slot;

	*prepared = prepared_table_find(batch->prepared, name);
	if (!*prepared) {
		fail(error, "26000", "prepared statement does not exist");
		return 0;
	}
	slot = slot_get(batch, name, &is_new);
	if (!slot)
		fail(error, "54000", "too many statements in one batch");
	else if (is_new)
		write_parse(batch, slot, *prepared, true);
	return slot;
}

static bool add_parse(batch_t *batch, pg_reader_t reader, batch_error_t *error)
{
	const char *name = pg_read_string(&reader);
	const pg_reader_t tail = reader;
	const char *sql = pg_read_string(&reader);
	const uint16_t types = pg_read_u16(&reader);
	prepared_t *prepared = NULL;
	bool is_new = false;
	bool stored = false;
	guint slot;

	if (reader.bad || reader.left_bytes != (size_t)types * 4)
		return fail_format(error);
	slot = slot_get(batch, name, &is_new);
	if (!slot)
		return fail(error, "54000", "too many statements in one batch");
	prepared = prepared_new(tail.next, tail.left_bytes,
				statement_cache_parse(batch->cache, sql));
	stored = prepared_table_put(batch->prepared, name, prepared);
	if (stored) {
		write_parse(batch, slot, prepared, false);
		add_step(batch, 'P', 0, prepared);
	}
	prepared_unref(prepared);
	return stored || fail(error, "53400",
			      "too many prepared statements in a session");
}

static bool add_bind(batch_t *batch, pg_reader_t reader, batch_error_t *error)
{
	const char *portal = pg_read_string(&reader);
	const char *name = pg_read_string(&reader);
	prepared_t *prepared = NULL;
	char slot_text[SLOT_NAME_SIZE];
	size_t mark;
	guint slot;

	if (reader.bad)
		return fail_format(error);
	slot = use_statement(batch, name, &prepared, error);
	if (!slot)
		return false;
	slot_name(slot_text, slot);
	mark = pg_write_begin(batch->bytes, 'B');
	pg_write_string(batch->bytes, portal);
	pg_write_string(batch->bytes, slot_text);
	g_byte_array_append(batch->bytes, reader.next,
			    (guint)reader.left_bytes);
	pg_write_end(batch->bytes, mark);
	g_hash_table_insert(batch->portals, g_strdup(portal),
			    prepared_ref(prepared));
	add_step(batch, 'B', 0, prepared);
	return true;
}

static void write_unchanged(batch_t *batch, const pg_message_t *message)
{
	g_byte_array_append(batch->bytes, message->body - PG_HEADER_SIZE_BYTES,
			    (guint)message->size_bytes);
}

static bool add_describe(batch_t *batch, const pg_message_t *message,
			 batch_error_t *error)
{
	pg_reader_t reader = pg_reader(message);
	const char target = (char)pg_read_u8(&reader);
	const char *name = pg_read_string(&reader);
	prepared_t *prepared = NULL;
	char slot_text[SLOT_NAME_SIZE];
	size_t mark;
	guint slot;

	if (!pg_reader_is_done(&reader) || (target != 'S' && target != 'P'))
		return fail_format(error);
	if (target == 'P') {
		write_unchanged(batch, message);
		add_step(batch, 'D', 'P',
			 g_hash_table_lookup(batch->portals, name));
		return true;
	}
	slot = use_statement(batch, name, &prepared, error);
	if (!slot)
		return false;
	slot_name(slot_text, slot);
	mark = pg_write_begin(batch->bytes, 'D');
	pg_write_u8(batch->bytes, 'S');
	pg_write_string(batch->bytes, slot_text);
	pg_write_end(batch->bytes, mark);
	add_step(batch, 'D', 'S', prepared);
	return true;
}

static bool add_execute(batch_t *batch, const pg_message_t *message,
			batch_error_t *error)
{
	pg_reader_t reader = pg_reader(message);
	const char *portal = pg_read_string(&reader);

	pg_read_u32(&reader);
	if (!pg_reader_is_done(&reader))
		return fail_format(error);
	write_unchanged(batch, message);
	add_step(batch, 'E', 0, g_hash_table_lookup(batch->portals, portal));
	return true;
}

static bool add_close(batch_t *batch, const pg_message_t *message,
		      batch_error_t *error)
{
	pg_reader_t reader = pg_reader(message);
	const char target = (char)pg_read_u8(&reader);
	const char *name = pg_read_string(&reader);
	bool is_new = false;
	guint slot;

	if (!pg_reader_is_done(&reader) || (target != 'S' && target != 'P'))
		return fail_format(error);
	if (target == 'P') {
		write_unchanged(batch, message);
		expect_answer(batch, batch->closes, false);
		add_step(batch, 'C', 'P', NULL);
		return true;
	}
	slot = slot_get(batch, name, &is_new);
	if (!slot)
		return fail(error, "54000", "too many statements in one batch");
	write_close(batch, slot, false);
	g_hash_table_remove(batch->slots, name);
	add_step(batch, 'C', 'S', prepared_table_find(batch->prepared, name));
	prepared_table_drop(batch->prepared, name);
	return true;
}

bool batch_add(batch_t *batch, const pg_message_t *message,
	       batch_error_t *error)
{
	if (batch->bytes->len + message->size_bytes > BATCH_SIZE_BYTES_MAX)
		return fail(error, "54000", "too many bytes before Sync");
	switch (message->type) {
	case 'P':
		return add_parse(batch, pg_reader(message), error);
	case 'B':
		return add_bind(batch, pg_reader(message), error);
	case 'D':
		return add_describe(batch, message, error);
	case 'E':
		return add_execute(batch, message, error);
	case 'C':
		return add_close(batch, message, error);
	default:
		return fail_format(error);
	}
}

static bool is_setting(const statement_t *statement)
{
	return statement->statement_class == STATEMENT_SET ||
	       statement->statement_class == STATEMENT_RESET ||
	       statement->statement_class == STATEMENT_SHOW;
}

static void summarize_execute(const statement_t *statement,
			      batch_summary_t *summary)
{
	summary->executed++;
	if (!statement) {
		summary->writes = true;
		return;
	}
	switch (statement->statement_class) {
	case STATEMENT_EMPTY:
	case STATEMENT_READ:
		break;
	case STATEMENT_BEGIN:
		summary->begins = true;
		break;
	case STATEMENT_COMMIT:
		summary->commits = true;
		break;
	case STATEMENT_ROLLBACK:
		summary->rolls_back = true;
		break;
	default:
		summary->writes = true;
	}
}

static bool is_commit(const batch_step_t *step)
{
	return step->statement &&
	       step->statement->statement_class == STATEMENT_COMMIT;
}

batch_summary_t batch_summarize(const batch_t *batch)
{
	batch_summary_t summary = {.steps = batch->steps->len};
	bool has_settings = false;
	bool has_others = false;
	int unexecuted_commits = 0;
	guint i;

	for (i = 0; i < batch->steps->len; i++) {
		const batch_step_t *step =
			&g_array_index(batch->steps, batch_step_t, i);
		const statement_t *statement = step->statement;

		if (step->type == 'E')
			summarize_execute(statement, &summary);
		if (is_commit(step))
			unexecuted_commits +=
				(step->type == 'B') - (step->type == 'E');
		if (!statement)
			continue;
		if (statement->statement_class == STATEMENT_REFUSED)
			summary.refused = statement->reason;
		has_settings |= is_setting(statement);
		has_others |= !is_setting(statement);
	}
	/* A later batch could not recognize the Execute as a COMMIT. */
	if (unexecuted_commits > 0)
		summary.refused = "a COMMIT that is bound in one batch and "
				  "executed in another";
	summary.settings_only = has_settings && !has_others;
	summary.mixes_settings = has_settings && has_others;
	return summary;
}

bool batch_only_prepares(const batch_t *batch)
{
	guint i;

	for (i = 0; i < batch->steps->len; i++) {
		const batch_step_t *step =
			&g_array_index(batch->steps, batch_step_t, i);

		if (step->type == 'B' || step->type == 'E')
			return false;
	}
	return true;
}

const batch_step_t *batch_steps(const batch_t *batch, uint32_t *steps_count)
{
	*steps_count = batch->steps->len;
	return (const batch_step_t *)(const void *)batch->steps->data;
}

GBytes *batch_bytes(const batch_t *batch)
{
	GByteArray *bytes = g_byte_array_sized_new(batch->bytes->len +
						   PG_HEADER_SIZE_BYTES);

	g_byte_array_append(bytes, batch->bytes->data, batch->bytes->len);
	pg_write_empty(bytes, 'S');
	return g_byte_array_free_to_bytes(bytes);
}

bool batch_has_hidden_answers(const batch_t *batch)
{
	return batch->hidden > 0;
}

/* Counts an answer of a kind. @return whether the answer is hidden */
static bool count_answer(batch_t *batch, const GByteArray *answers, guint *seen)
{
	if (*seen >= answers->len || !answers->data[(*seen)++])
		return false;
	batch->hidden--;
	return true;
}

void batch_filter(batch_t *batch, const uint8_t *bytes, size_t size_bytes,
		  GByteArray *out)
{
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(bytes + used, size_bytes - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		bool hide = false;

		if (message.type == '1')
			hide = count_answer(batch, batch->parses,
					    &batch->parses_seen);
		else if (message.type == '3')
			hide = count_answer(batch, batch->closes,
					    &batch->closes_seen);
		if (!hide)
			g_byte_array_append(out, bytes + used,
					    (guint)message.size_bytes);
		used += message.size_bytes;
	}
}

void batch_clear(batch_t *batch)
{
	g_hash_table_remove_all(batch->slots);
	batch->slots_count = 0;
	g_hash_table_remove_all(batch->portals);
	g_ptr_array_set_size(batch->used, 0);
	g_array_set_size(batch->steps, 0);
	g_byte_array_set_size(batch->bytes, 0);
	g_byte_array_set_size(batch->parses, 0);
	g_byte_array_set_size(batch->closes, 0);
	batch->parses_seen = 0;
	batch->closes_seen = 0;
	batch->hidden = 0;
}

void batch_forget_prepared(batch_t *batch)
{
	batch_clear(batch);
	prepared_table_clear(batch->prepared);
}
