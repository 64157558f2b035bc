#include "standin/backend/wire.h"

#include <string.h>

/** Object id of the type text. */
#define TEXT_OID 25u

guint wire_begin(GByteArray *out, char type)
{
	guint start = out->len;

	wire_byte(out, type);
	wire_int32(out, 0);
	return start;
}

void wire_end(GByteArray *out, guint start)
{
	uint32_t length = GUINT32_TO_BE(out->len - start - 1);

	memcpy(out->data + start + 1, &length, sizeof(length));
}

void wire_byte(GByteArray *out, char value)
{
	g_byte_array_append(out, (const guint8 *)&value, 1);
}

void wire_int16(GByteArray *out, uint16_t value)
{
	uint16_t big = GUINT16_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&big, sizeof(big));
}

void wire_int32(GByteArray *out, uint32_t value)
{
	uint32_t big = GUINT32_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&big, sizeof(big));
}

void wire_string(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, strlen(text) + 1);
}

void wire_empty(GByteArray *out, char type)
{
	wire_end(out, wire_begin(out, type));
}

void wire_complete(GByteArray *out, const char *tag)
{
	guint start = wire_begin(out, 'C');

	wire_string(out, tag);
	wire_end(out, start);
}

void wire_row(GByteArray *out, const char *const *values, uint32_t count)
{
	guint start = wire_begin(out, 'D');

	wire_int16(out, (uint16_t)count);
	for (uint32_t i = 0; i < count; i++) {
		size_t size_bytes;

		if (!values[i]) {
			wire_int32(out, UINT32_MAX);
			continue;
		}
		size_bytes = strlen(values[i]);
		wire_int32(out, (uint32_t)size_bytes);
		g_byte_array_append(out, (const guint8 *)values[i], size_bytes);
	}
	wire_end(out, start);
}

void wire_columns(GByteArray *out, char *const *names, uint32_t count)
{
	guint start = wire_begin(out, 'T');

	wire_int16(out, (uint16_t)count);
	for (uint32_t i = 0; i < count; i++) {
		wire_string(out, names[i]);
		wire_int32(out, 0);
		wire_int16(out, 0);
		wire_int32(out, TEXT_OID);
		wire_int16(out, UINT16_MAX);
		wire_int32(out, UINT32_MAX);
		wire_int16(out, 0);
	}
	wire_end(out, start);
}

void wire_error(GByteArray *out, const char *severity, const char *sqlstate,
		const char *message)
{
	guint start = wire_begin(out, 'E');

	wire_byte(out, 'S');
	wire_string(out, severity);
	wire_byte(out, 'V');
	wire_string(out, severity);
	wire_byte(out, 'C');
	wire_string(out, sqlstate);
	wire_byte(out, 'M');
	wire_string(out, message);
	wire_byte(out, 0);
	wire_end(out, start);
}

const uint8_t *wire_read_bytes(wire_reader_t *reader, size_t size_bytes)
{
	const uint8_t *bytes = reader->bytes + reader->offset;

	if (reader->failed ||
	    size_bytes > reader->size_bytes - reader->offset) {
		reader->failed = true;
		return NULL;
	}
	reader->offset += size_bytes;
	return bytes;
}

uint16_t wire_read_int16(wire_reader_t *reader)
{
	const uint8_t *bytes = wire_read_bytes(reader, 2);

	return bytes ? (uint16_t)(bytes[0] << 8 | bytes[1]) : 0;
}

uint32_t wire_read_int32(wire_reader_t *reader)
{
	uint32_t high = wire_read_int16(reader);

	return high << 16 | wire_read_int16(reader);
}

const char *wire_read_string(wire_reader_t *reader)
{
	const uint8_t *start = reader->bytes + reader->offset;
	const uint8_t *end;

	if (reader->failed)
		return "";
	end = memchr(start, 0, reader->size_bytes - reader->offset);
	if (!end) {
		reader->failed = true;
		return "";
	}
	reader->offset += (size_t)(end - start) + 1;
	return (const char *)start;
}
