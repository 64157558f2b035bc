#ifndef STANDIN_BACKEND_WIRE_H
#define STANDIN_BACKEND_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Maximum size of a message from a caller. */
#define WIRE_MESSAGE_SIZE_BYTES_MAX (64u * 1024 * 1024)

/**
 * Starts a message of @p type.
 *
 * @return offset of the message in @p out, for wire_end()
 */
guint wire_begin(GByteArray *out, char type);

/** Writes the length of the message that starts at @p start. */
void wire_end(GByteArray *out, guint start);

void wire_byte(GByteArray *out, char value);
void wire_int16(GByteArray *out, uint16_t value);
void wire_int32(GByteArray *out, uint32_t value);

/** Appends the text with its terminating zero byte. */
void wire_string(GByteArray *out, const char *text);

/** Appends a message without a body. */
void wire_empty(GByteArray *out, char type);

/** Appends a CommandComplete. */
void wire_complete(GByteArray *out, const char *tag);

/** Appends a DataRow of text values, NULL for an SQL null. */
void wire_row(GByteArray *out, const char *const *values, uint32_t count);

/** Appends a RowDescription of text columns. */
void wire_columns(GByteArray *out, char *const *names, uint32_t count);

/** Appends an ErrorResponse of severity ERROR or FATAL. */
void wire_error(GByteArray *out, const char *severity, const char *sqlstate,
		const char *message);

/**
 * Reads the body of a message. A read past its end sets @p failed, and later
 * reads then return nothing.
 */
typedef struct {
	const uint8_t *bytes;
	size_t size_bytes;
	size_t offset;
	bool failed;
} wire_reader_t;

uint16_t wire_read_int16(wire_reader_t *reader);
uint32_t wire_read_int32(wire_reader_t *reader);

/** @return the text, not copied; "" if its terminating zero is missing. */
const char *wire_read_string(wire_reader_t *reader);

/** @return the next @p size_bytes, not copied; NULL if there are fewer. */
const uint8_t *wire_read_bytes(wire_reader_t *reader, size_t size_bytes);

#endif
