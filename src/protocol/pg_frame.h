#ifndef PROTOCOL_PG_FRAME_H
#define PROTOCOL_PG_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * Framing of PostgreSQL protocol 3 over plain bytes: no sockets, no state.
 * Writers append to a GByteArray; readers never look beyond a message.
 */

/** Largest start-up packet, in bytes. */
#define PG_STARTUP_SIZE_BYTES_MAX (10u * 1024)

/** Bytes of a typed message before its body: type and length. */
#define PG_HEADER_SIZE_BYTES 5

/** Request codes that stand where a version would. */
#define PG_CODE_VERSION_3 196608u
#define PG_CODE_CANCEL 80877102u
#define PG_CODE_TLS 80877103u
#define PG_CODE_GSSAPI 80877104u

/** What the first bytes of a buffer hold. */
typedef enum {
	PG_FRAME_READY, /**< a whole message */
	PG_FRAME_MORE,	/**< the beginning of one */
	PG_FRAME_BAD,	/**< a length out of bounds; nothing can follow */
} pg_frame_result_t;

/** One message inside a buffer; it owns nothing. */
typedef struct {
	char type; /**< 0 for a start-up packet */
	const uint8_t *body;
	size_t body_size_bytes;
	size_t size_bytes; /**< with header: where the next message begins */
} pg_message_t;

/** Reads the fields of a message one after the other. */
typedef struct {
	const uint8_t *next;
	size_t left_bytes;
	bool bad; /**< a field was cut off or broken; later reads give 0 */
} pg_reader_t;

/**
 * Finds the first typed message.
 *
 * @param limit_bytes largest whole message that is accepted; more is bad as
 *        soon as its length is seen
 */
pg_frame_result_t pg_frame_next(const uint8_t *bytes, size_t size_bytes,
				size_t limit_bytes, pg_message_t *message);

/** Finds the first start-up packet, at most PG_STARTUP_SIZE_BYTES_MAX. */
pg_frame_result_t pg_frame_startup(const uint8_t *bytes, size_t size_bytes,
				   pg_message_t *message);

pg_reader_t pg_reader(const pg_message_t *message);
uint8_t pg_read_u8(pg_reader_t *reader);
uint16_t pg_read_u16(pg_reader_t *reader);
uint32_t pg_read_u32(pg_reader_t *reader);

/** @return a string inside the message, or NULL with bad set. */
const char *pg_read_string(pg_reader_t *reader);

/** @return @p size_bytes bytes inside the message, or NULL with bad set. */
const uint8_t *pg_read_bytes(pg_reader_t *reader, size_t size_bytes);

/**
 * @param code field of an ErrorResponse: 'C' SQLSTATE, 'M' message, ...
 * @return the field inside the message, or NULL if it has none
 */
const char *pg_error_field(const pg_message_t *message, char code);

/**
 * Copies the columns of a DataRow as text.
 *
 * @param wanted number of columns that it must have
 * @return NULL-terminated, a null value as ""; NULL if it does not fit
 */
char **pg_row_read(const pg_message_t *message, uint16_t wanted);

/** Begins a message. @return the mark for pg_write_end(). */
size_t pg_write_begin(GByteArray *out, char type);
void pg_write_end(GByteArray *out, size_t mark);
void pg_write_u8(GByteArray *out, uint8_t value);
void pg_write_u16(GByteArray *out, uint16_t value);
void pg_write_u32(GByteArray *out, uint32_t value);
void pg_write_string(GByteArray *out, const char *text);

/** Writes a message without fields. */
void pg_write_empty(GByteArray *out, char type);

/** Writes a message whose only field is a string. */
void pg_write_text(GByteArray *out, char type, const char *text);

/** @return @p text as an SQL string constant; free with g_free(). */
char *pg_quote(const char *text);

void pg_write_query(GByteArray *out, const char *sql);

/** @param status 'I', 'T' or 'E' */
void pg_write_ready(GByteArray *out, char status);

/**
 * Writes an ErrorResponse.
 *
 * @param severity ERROR or FATAL
 * @param hint     NULL for none
 */
void pg_write_error(GByteArray *out, const char *severity, const char *sqlstate,
		    const char *message, const char *hint);

void pg_write_parameter(GByteArray *out, const char *name, const char *value);

/** @param code 0 for success, 3, 5, 10 (SASL), 11, 12 */
void pg_write_authentication(GByteArray *out, uint32_t code,
			     const uint8_t *bytes, size_t size_bytes);

/** Writes a RowDescription of text columns. */
void pg_write_columns(GByteArray *out, const char *const *names,
		      uint16_t names_count);

/** Writes a DataRow of text values; a NULL value is null. */
void pg_write_row(GByteArray *out, const char *const *values,
		  uint16_t values_count);

#endif
