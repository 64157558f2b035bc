#include "relay/relay_hub_message.h"

#include <inttypes.h>
#include <string.h>

#include "base/deflate.h"
#include "base/text.h"

G_DEFINE_QUARK(hub - message - error - quark, hub_message_error)

/* Values from this size on are compressed. */
#define COMPRESS_BYTES_MIN 512u

/* Maximum size of a value after decompression. */
#define VALUE_BYTES_MAX (4u * 1024 * 1024)

/* First word of each entry. */
#define WORD_HEAD "H"
#define WORD_ITEM "I"
#define WORD_PROOF "P"
#define WORD_SAMPLE "S"

/* Forms of an item's value. */
#define FORM_REMOVED "-"
#define FORM_PLAIN "p"
#define FORM_COMPRESSED "z"

/*
 * Optional last field of a request: "=", then each service's key in hexadecimal
 * digits after "-" if it is removed or "+" if it is added.
 */
#define NAMES_MARK '='
#define NAMES_REMOVED '-'
#define NAMES_ADDED '+'
#define KEY_BASE 16

/*
 * A point of a service of this name, which no service has, allows names in
 * requests. Earlier versions ignore points of unknown services.
 */
#define TAKES_NAMES_SERVICE "toucanhook.names"

#define HEAD_FIELDS (3 + 2 * HUB_STREAM_COUNT)
#define ITEM_FIELDS 6
#define PROOF_FIELDS 4
#define SAMPLE_FIELDS 6

static void proof_free(gpointer data)
{
	hub_proof_t *proof = data;

	g_free(proof->service);
	g_free(proof);
}

static void sample_free(gpointer data)
{
	hub_sample_t *sample = data;

	g_free(sample->service);
	g_free(sample);
}

hub_answer_t *hub_answer_new(void)
{
	hub_answer_t *answer = g_new0(hub_answer_t, 1);

	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		answer->changes[i].items = g_ptr_array_new_with_free_func(
			(GDestroyNotify)kv_item_free);
	answer->proofs = g_ptr_array_new_with_free_func(proof_free);
	answer->samples = g_ptr_array_new_with_free_func(sample_free);
	return answer;
}

void hub_answer_delete(hub_answer_t *answer)
{
	if (!answer)
		return;
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		g_ptr_array_unref(answer->changes[i].items);
	g_ptr_array_unref(answer->proofs);
	g_ptr_array_unref(answer->samples);
	g_free(answer);
}

static bool parse_uint(const char *text, uint64_t *number)
{
	return g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, number,
					  NULL);
}

static bool parse_revision(const char *text, int64_t *revision)
{
	return g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, revision,
					NULL);
}

static void append_keys(GString *text, char mark, const service_keys_t *keys)
{
	for (uint32_t i = 0; i < keys->count; i++)
		g_string_append_printf(text, "%c%" PRIx64, mark, keys->keys[i]);
}

char *hub_request_encode(const hub_request_t *request)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%" PRId64 " %" PRId64,
			request->revisions[HUB_STREAM_CATALOG],
			request->revisions[HUB_STREAM_PRIMARIES]);
	if (request->named) {
		g_string_append_printf(text, " %c", NAMES_MARK);
		append_keys(text, NAMES_REMOVED, &request->removed);
		append_keys(text, NAMES_ADDED, &request->added);
	}
	return g_string_free(text, FALSE);
}

static bool parse_names(const char *text, hub_request_t *request)
{
	if (*text++ != NAMES_MARK)
		return false;
	while (*text) {
		service_keys_t *keys = *text == NAMES_ADDED ? &request->added :
							      &request->removed;
		char *end;

		if (*text != NAMES_ADDED && *text != NAMES_REMOVED)
			return false;
		if (!g_ascii_isxdigit(*++text) ||
		    !service_keys_add(keys,
				      g_ascii_strtoull(text, &end, KEY_BASE)))
			return false;
		text = end;
	}
	request->named = true;
	return true;
}

bool hub_request_decode(const char *text, hub_request_t *request)
{
	g_auto(GStrv) fields = g_strsplit(text, " ", 0);
	const guint count = g_strv_length(fields);

	*request = (hub_request_t){0};
	if (count != HUB_STREAM_COUNT && count != HUB_STREAM_COUNT + 1)
		return false;
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		if (!parse_revision(fields[i], &request->revisions[i]))
			return false;
	return count == HUB_STREAM_COUNT ||
	       parse_names(fields[HUB_STREAM_COUNT], request);
}

char *hub_encode_head(const hub_answer_t *answer)
{
	GString *text = g_string_new(WORD_HEAD);

	g_string_append_printf(text, " %" PRIu64 " %" PRIu64,
			       answer->received_ms, answer->until_ms);
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		g_string_append_printf(text, " %" PRId64 " %d",
				       answer->changes[i].revision,
				       answer->changes[i].whole);
	return g_string_free(text, FALSE);
}

/* Encodes a value in base64, compressed if it is large. */
static char *encode_value(GBytes *value, const char **form)
{
	g_autoptr(GBytes) compressed = NULL;
	gsize size;
	const uint8_t *bytes = g_bytes_get_data(value, &size);

	*form = FORM_PLAIN;
	if (size >= COMPRESS_BYTES_MIN) {
		compressed = deflate_compress(bytes, size);
		bytes = g_bytes_get_data(compressed, &size);
		*form = FORM_COMPRESSED;
	}
	return g_base64_encode(bytes, size);
}

char *hub_encode_item(hub_stream_t stream, const kv_item_t *item)
{
	const char *form = FORM_REMOVED;
	g_autofree char *value = item->deleted || !item->value ?
					 g_strdup("-") :
					 encode_value(item->value, &form);

	/* Keys of other writers may contain blanks. */
	g_autofree char *key = g_uri_escape_string(item->key, "/", FALSE);

	return g_strdup_printf(WORD_ITEM " %d %" PRId64 " %s %s %s", stream,
			       item->revision, form, value, key);
}

char *hub_encode_proof(const hub_proof_t *proof)
{
	return g_strdup_printf(WORD_PROOF " %" PRIu64 " %" PRIu64 " %s",
			       proof->term, proof->until_ms, proof->service);
}

char *hub_encode_sample(const hub_sample_t *sample)
{
	return g_strdup_printf(WORD_SAMPLE " %" PRIu64 " %" PRIu64 " %" PRIu64
					   " %" PRIu64 " %s",
			       sample->term, sample->point.term,
			       sample->point.position, sample->sampled_ms,
			       sample->service);
}

char *hub_encode_takes_names(void)
{
	const hub_sample_t sample = {.service = TAKES_NAMES_SERVICE};

	return hub_encode_sample(&sample);
}

static bool parse_head(char **fields, hub_answer_t *answer)
{
	if (g_strv_length(fields) != HEAD_FIELDS ||
	    !parse_uint(fields[1], &answer->received_ms) ||
	    !parse_uint(fields[2], &answer->until_ms))
		return false;
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++) {
		hub_changes_t *changes = &answer->changes[i];

		if (!parse_revision(fields[3 + 2 * i], &changes->revision))
			return false;
		changes->whole = !strcmp(fields[4 + 2 * i], "1");
	}
	return true;
}

/* @return the value, or NULL if it is invalid */
static GBytes *decode_value(const char *form, const char *text)
{
	gsize size = strlen(text);
	g_autofree uint8_t *bytes = text_decode_base64(text, &size);

	if (!bytes)
		return NULL;
	if (!strcmp(form, FORM_COMPRESSED))
		return deflate_decompress(bytes, size, VALUE_BYTES_MAX);
	if (strcmp(form, FORM_PLAIN) != 0)
		return NULL;
	return g_bytes_new(bytes, size);
}

static bool parse_item(char **fields, hub_answer_t *answer)
{
	g_autoptr(GBytes) value = NULL;
	g_autofree char *key = NULL;
	kv_item_t *item;
	uint64_t stream;
	int64_t revision;
	bool removed;

	if (g_strv_length(fields) != ITEM_FIELDS ||
	    !parse_uint(fields[1], &stream) || stream >= HUB_STREAM_COUNT ||
	    !parse_revision(fields[2], &revision))
		return false;
	key = g_uri_unescape_string(fields[5], NULL);
	if (!key || !*key)
		return false;
	removed = !strcmp(fields[3], FORM_REMOVED);
	if (!removed)
		value = decode_value(fields[3], fields[4]);
	if (!removed && !value)
		return false;
	item = g_new0(kv_item_t, 1);
	item->key = g_steal_pointer(&key);
	item->revision = revision;
	item->deleted = removed;
	item->value = g_steal_pointer(&value);
	g_ptr_array_add(answer->changes[stream].items, item);
	return true;
}

static bool parse_proof(char **fields, hub_answer_t *answer)
{
	hub_proof_t proof;

	if (g_strv_length(fields) != PROOF_FIELDS ||
	    !parse_uint(fields[1], &proof.term) ||
	    !parse_uint(fields[2], &proof.until_ms) || !*fields[3])
		return false;
	proof.service = g_strdup(fields[3]);
	g_ptr_array_add(answer->proofs, g_memdup2(&proof, sizeof(proof)));
	return true;
}

static bool parse_sample(char **fields, hub_answer_t *answer)
{
	hub_sample_t sample;

	if (g_strv_length(fields) != SAMPLE_FIELDS ||
	    !parse_uint(fields[1], &sample.term) ||
	    !parse_uint(fields[2], &sample.point.term) ||
	    !parse_uint(fields[3], &sample.point.position) ||
	    !parse_uint(fields[4], &sample.sampled_ms) || !*fields[5])
		return false;
	if (!strcmp(fields[5], TAKES_NAMES_SERVICE)) {
		answer->takes_names = true;
		return true;
	}
	sample.service = g_strdup(fields[5]);
	g_ptr_array_add(answer->samples, g_memdup2(&sample, sizeof(sample)));
	return true;
}

static bool parse_entry(const char *row, bool first, hub_answer_t *answer,
			GError **error)
{
	static const struct {
		const char *word;
		bool (*parse)(char **fields, hub_answer_t *answer);
	} entries[] = {
		{WORD_HEAD, parse_head},
		{WORD_ITEM, parse_item},
		{WORD_PROOF, parse_proof},
		{WORD_SAMPLE, parse_sample},
	};
	g_auto(GStrv) fields = g_strsplit(row, " ", 0);

	for (size_t i = first ? 0 : 1; i < (first ? 1 : G_N_ELEMENTS(entries));
	     i++) {
		if (g_strcmp0(fields[0], entries[i].word) != 0)
			continue;
		if (entries[i].parse(fields, answer))
			return true;
		g_set_error(error, HUB_MESSAGE_ERROR, HUB_MESSAGE_ERROR_FIELD,
			    "invalid field in entry \"%.60s\"", row);
		return false;
	}
	g_set_error(error, HUB_MESSAGE_ERROR, HUB_MESSAGE_ERROR_TYPE,
		    "unexpected entry \"%.60s\"", row);
	return false;
}

hub_answer_t *hub_answer_decode(const GPtrArray *rows, GError **error)
{
	hub_answer_t *answer;

	if (!rows->len) {
		g_set_error(error, HUB_MESSAGE_ERROR, HUB_MESSAGE_ERROR_TYPE,
			    "empty answer");
		return NULL;
	}
	answer = hub_answer_new();
	for (guint i = 0; i < rows->len; i++) {
		if (parse_entry(rows->pdata[i], i == 0, answer, error))
			continue;
		hub_answer_delete(answer);
		return NULL;
	}
	return answer;
}
