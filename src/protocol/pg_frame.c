#include "protocol/pg_frame.h"

#include <string.h>

#include "base/text.h"

#define LENGTH_SIZE_BYTES 4
#define TYPE_TEXT 25 /* object identifier of PostgreSQL's type text */

static uint32_t get_u32(const uint8_t *bytes)
{
	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

pg_frame_result_t pg_frame_next(const uint8_t *bytes, size_t size_bytes,
				size_t limit_bytes, pg_message_t *message)
{
	size_t length;

	if (size_bytes < PG_HEADER_SIZE_BYTES)
		return PG_FRAME_INCOMPLETE;
	length = get_u32(bytes + 1);
	if (length < LENGTH_SIZE_BYTES || length + 1 > limit_bytes)
		return PG_FRAME_INVALID;
	message->type = (char)bytes[0];
	message->body = bytes + PG_HEADER_SIZE_BYTES;
	message->body_size_bytes = length - LENGTH_SIZE_BYTES;
	message->size_bytes = length + 1;
	return size_bytes < length + 1 ? PG_FRAME_INCOMPLETE : PG_FRAME_READY;
}

pg_frame_result_t pg_frame_startup(const uint8_t *bytes, size_t size_bytes,
				   pg_message_t *message)
{
	size_t length;

	if (size_bytes < LENGTH_SIZE_BYTES)
		return PG_FRAME_INCOMPLETE;
	length = get_u32(bytes);
	if (length < LENGTH_SIZE_BYTES + 4 ||
	    length > PG_STARTUP_SIZE_BYTES_MAX)
		return PG_FRAME_INVALID;
	message->type = 0;
	message->body = bytes + LENGTH_SIZE_BYTES;
	message->body_size_bytes = length - LENGTH_SIZE_BYTES;
	message->size_bytes = length;
	return size_bytes < length ? PG_FRAME_INCOMPLETE : PG_FRAME_READY;
}

pg_reader_t pg_reader(const pg_message_t *message)
{
	const pg_reader_t reader = {
		.next = message->body,
		.left_bytes = message->body_size_bytes,
	};

	return reader;
}

const uint8_t *pg_read_bytes(pg_reader_t *reader, size_t size_bytes)
{
	const uint8_t *bytes = reader->next;

	if (reader->bad || reader->left_bytes < size_bytes) {
		reader->bad = true;
		return NULL;
	}
	reader->next += size_bytes;
	reader->left_bytes -= size_bytes;
	return bytes;
}

uint8_t pg_read_u8(pg_reader_t *reader)
{
	const uint8_t *bytes = pg_read_bytes(reader, 1);

	return bytes ? bytes[0] : 0;
}

uint16_t pg_read_u16(pg_reader_t *reader)
{
	const uint8_t *bytes = pg_read_bytes(reader, 2);

	return bytes ? (uint16_t)(bytes[0] << 8 | bytes[1]) : 0;
}

uint32_t pg_read_u32(pg_reader_t *reader)
{
	const uint8_t *bytes = pg_read_bytes(reader, 4);

	return bytes ? get_u32(bytes) : 0;
}

const char *pg_read_string(pg_reader_t *reader)
{
	const uint8_t *end = NULL;

	if (!reader->bad && reader->left_bytes)
		end = memchr(reader->next, 0, reader->left_bytes);
	if (!end) {
		reader->bad = true;
		return NULL;
	}
	return (const char *)pg_read_bytes(reader,
					   (size_t)(end - reader->next) + 1);
}

bool pg_reader_is_done(const pg_reader_t *reader)
{
	return !reader->bad && !reader->left_bytes;
}

const char *pg_error_field(const pg_message_t *message, char code)
{
	pg_reader_t reader = pg_reader(message);

	for (;;) {
		const char found = (char)pg_read_u8(&reader);
		const char *text = NULL;

		if (!found)
			return NULL;
		text = pg_read_string(&reader);
		if (!text || found == code)
			return text;
	}
}

/* Reads one column of a row. @return NULL with bad set if it is no text */
static char *read_column(pg_reader_t *reader)
{
	const uint32_t size_bytes = pg_read_u32(reader);
	const uint8_t *bytes = NULL;
	char *text = NULL;

	if (size_bytes == UINT32_MAX)
		return g_strdup("");
	bytes = pg_read_bytes(reader, size_bytes);
	text = bytes ? text_new(bytes, size_bytes) : NULL;
	reader->bad |= !text;
	return text;
}

char **pg_row_read(const pg_message_t *message, uint16_t columns_count)
{
	pg_reader_t reader = pg_reader(message);
	char **values = NULL;
	uint16_t i;

	if (pg_read_u16(&reader) != columns_count)
		return NULL;
	values = g_new0(char *, (size_t)columns_count + 1);
	for (i = 0; i < columns_count && !reader.bad; i++)
		values[i] = read_column(&reader);
	if (reader.bad || reader.left_bytes)
		g_clear_pointer(&values, g_strfreev);
	return values;
}

size_t pg_write_begin(GByteArray *out, char type)
{
	const size_t mark = out->len;

	pg_write_u8(out, (uint8_t)type);
	pg_write_u32(out, 0);
	return mark;
}

void pg_write_end(GByteArray *out, size_t mark)
{
	const uint32_t length = GUINT32_TO_BE((uint32_t)(out->len - mark - 1));

	memcpy(out->data + mark + 1, &length, sizeof(length));
}

void pg_write_u8(GByteArray *out, uint8_t value)
{
	g_byte_array_append(out, &value, 1);
}

void pg_write_u16(GByteArray *out, uint16_t value)
{
	const uint16_t ordered = GUINT16_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&ordered, sizeof(ordered));
}

void pg_write_u32(GByteArray *out, uint32_t value)
{
	const uint32_t ordered = GUINT32_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&ordered, sizeof(ordered));
}

void pg_write_string(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text) + 1);
}

void pg_write_empty(GByteArray *out, char type)
{
	pg_write_end(out, pg_write_begin(out, type));
}

void pg_write_text(GByteArray *out, char type, const char *text)
{
	const size_t mark = pg_write_begin(out, type);

	pg_write_string(out, text);
	pg_write_end(out, mark);
}

/* Quotes and backslashes are doubled in an E'' constant. */
char *pg_quote(const char *text)
{
	GString *quoted = g_string_new("E'");
	const char *c = NULL;

	for (c = text; *c; c++) {
		if (*c == '\'' || *c == '\\')
			g_string_append_c(quoted, *c);
		g_string_append_c(quoted, *c);
	}
	g_string_append_c(quoted, '\'');
	return g_string_free(quoted, FALSE);
}

void pg_write_query(GByteArray *out, const char *sql)
{
	pg_write_text(out, 'Q', sql);
}

void pg_write_ready(GByteArray *out, char status)
{
	const size_t mark = pg_write_begin(out, 'Z');

	pg_write_u8(out, (uint8_t)status);
	pg_write_end(out, mark);
}

static void write_error_field(GByteArray *out, char code, const char *text)
{
	pg_write_u8(out, (uint8_t)code);
	pg_write_string(out, text);
}

void pg_write_error(GByteArray *out, const char *severity, const char *sqlstate,
		    const char *message, const char *hint)
{
	const size_t mark = pg_write_begin(out, 'E');

	write_error_field(out, 'S', severity);
	write_error_field(out, 'V', severity);
	write_error_field(out, 'C', sqlstate);
	write_error_field(out, 'M', message);
	if (hint)
		write_error_field(out, 'H', hint);
	pg_write_u8(out, 0);
	pg_write_end(out, mark);
}

void pg_write_parameter(GByteArray *out, const char *name, const char *value)
{
	const size_t mark = pg_write_begin(out, 'S');

	pg_write_string(out, name);
	pg_write_string(out, value);
	pg_write_end(out, mark);
}

void pg_write_authentication(GByteArray *out, uint32_t code,
			     const uint8_t *bytes, size_t size_bytes)
{
	const size_t mark = pg_write_begin(out, 'R');

	pg_write_u32(out, code);
	if (size_bytes)
		g_byte_array_append(out, bytes, (guint)size_bytes);
	pg_write_end(out, mark);
}

void pg_write_columns(GByteArray *out, const char *const *names,
		      uint16_t names_count)
{
	const size_t mark = pg_write_begin(out, 'T');
	uint16_t i;

	pg_write_u16(out, names_count);
	for (i = 0; i < names_count; i++) {
		pg_write_string(out, names[i]);
		pg_write_u32(out, 0);
		pg_write_u16(out, 0);
		pg_write_u32(out, TYPE_TEXT);
		pg_write_u16(out, UINT16_MAX);
		pg_write_u32(out, UINT32_MAX);
		pg_write_u16(out, 0);
	}
	pg_write_end(out, mark);
}

void pg_write_row(GByteArray *out, const char *const *values,
		  uint16_t values_count)
{
	const size_t mark = pg_write_begin(out, 'D');
	uint16_t i;

	pg_write_u16(out, values_count);
	for (i = 0; i < values_count; i++) {
		if (!values[i]) {
			pg_write_u32(out, UINT32_MAX);
			continue;
		}
		pg_write_u32(out, (uint32_t)strlen(values[i]));
		g_byte_array_append(out, (const guint8 *)values[i],
				    (guint)strlen(values[i]));
	}
	pg_write_end(out, mark);
}
