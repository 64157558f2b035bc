#ifndef PROTOCOL_PG_FRAME_H
#define PROTOCOL_PG_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * Encodes and decodes messages of the PostgreSQL protocol, version 3, in
 * memory, without sockets and without state. Writers append to a GByteArray;
 * readers never read past the end of a message.
 */

/** Size of the largest start-up packet, in bytes. */
#define PG_STARTUP_SIZE_BYTES_MAX (10u * 1024)

/** Size of a typed message's header (type and length), in bytes. */
#define PG_HEADER_SIZE_BYTES 5

/** Codes in the version field of a start-up packet. */
#define PG_CODE_VERSION_3 196608u
#define PG_CODE_CANCEL 80877102u
#define PG_CODE_TLS 80877103u
#define PG_CODE_GSSAPI 80877104u

/** Result of looking for a message at the start of a buffer. */
typedef enum {
	PG_FRAME_READY,	     /**< the buffer starts with a complete message */
	PG_FRAME_INCOMPLETE, /**< the message needs more bytes */
	PG_FRAME_INVALID,    /**< invalid length; the stream cannot be parsed */
} pg_frame_result_t;

/** View of one message inside a buffer that the caller owns. */
typedef struct {
	char type; /**< message type; 0 for a start-up packet */
	const uint8_t *body;
	size_t body_size_bytes;
	size_t size_bytes; /**< size with header: offset of the next message */
} pg_message_t;

/** Cursor that reads the fields of a message in order. */
typedef struct {
	const uint8_t *next;
	size_t left_bytes;
	bool bad; /**< a field was truncated or invalid; later reads return 0 */
} pg_reader_t;

/**
 * Parses the typed message at the start of a buffer.
 *
 * @param limit_bytes size limit of a message with header; a larger message
 *        gives PG_FRAME_INVALID as soon as the buffer holds its length
 */
pg_frame_result_t pg_frame_next(const uint8_t *bytes, size_t size_bytes,
				size_t limit_bytes, pg_message_t *message);

/**
 * Parses the start-up packet at the start of a buffer. A packet of more than
 * PG_STARTUP_SIZE_BYTES_MAX gives PG_FRAME_INVALID.
 */
pg_frame_result_t pg_frame_startup(const uint8_t *bytes, size_t size_bytes,
				   pg_message_t *message);

/** @return a reader at the first field of @p message. */
pg_reader_t pg_reader(const pg_message_t *message);

/* Read an unsigned number; 0 with bad set if the message is too short. */
uint8_t pg_read_u8(pg_reader_t *reader);
uint16_t pg_read_u16(pg_reader_t *reader);
uint32_t pg_read_u32(pg_reader_t *reader);

/** Reads a string. @return a pointer into the message, or NULL with bad set */
const char *pg_read_string(pg_reader_t *reader);

/**
 * Reads @p size_bytes bytes.
 *
 * @return a pointer into the message, or NULL with bad set
 */
const uint8_t *pg_read_bytes(pg_reader_t *reader, size_t size_bytes);

/**
 * @return whether all fields were read and nothing follows them: what follows
 *         would be lost when the message is written again
 */
bool pg_reader_is_done(const pg_reader_t *reader);

/**
 * Finds a field of an ErrorResponse.
 *
 * @param code field code: 'C' for the SQLSTATE, 'M' for the message and so on
 * @return a pointer into the message, or NULL if the field is missing
 */
const char *pg_error_field(const pg_message_t *message, char code);

/**
 * Copies the columns of a DataRow as text.
 *
 * @param columns_count number of columns that the row must have
 * @return NULL-terminated values, "" for a null; NULL if the row is invalid,
 *         has another number of columns or a value with a NUL
 */
char **pg_row_read(const pg_message_t *message, uint16_t columns_count);

/** Begins a message. @return the message's offset for pg_write_end() */
size_t pg_write_begin(GByteArray *out, char type);

/** Ends the message that begins at @p mark: fills in its length. */
void pg_write_end(GByteArray *out, size_t mark);

/* Append a number in network byte order. */
void pg_write_u8(GByteArray *out, uint8_t value);
void pg_write_u16(GByteArray *out, uint16_t value);
void pg_write_u32(GByteArray *out, uint32_t value);

/** Appends a string with its terminating zero. */
void pg_write_string(GByteArray *out, const char *text);

/** Writes a message without fields. */
void pg_write_empty(GByteArray *out, char type);

/** Writes a message whose only field is a string. */
void pg_write_text(GByteArray *out, char type, const char *text);

/** @return @p text as an SQL string constant; free with g_free(). */
char *pg_quote(const char *text);

/** Writes a Query message. */
void pg_write_query(GByteArray *out, const char *sql);

/**
 * Writes a ReadyForQuery message.
 *
 * @param status transaction status: 'I', 'T' or 'E'
 */
void pg_write_ready(GByteArray *out, char status);

/**
 * Writes an ErrorResponse.
 *
 * @param severity ERROR or FATAL
 * @param hint     hint for the user, or NULL
 */
void pg_write_error(GByteArray *out, const char *severity, const char *sqlstate,
		    const char *message, const char *hint);

/** Writes a ParameterStatus message. */
void pg_write_parameter(GByteArray *out, const char *name, const char *value);

/**
 * Writes an Authentication message.
 *
 * @param code  request code of the protocol: 0 for success, 3, 5, 10 (SASL),
 *              11 or 12
 * @param bytes data that follows the code
 */
void pg_write_authentication(GByteArray *out, uint32_t code,
			     const uint8_t *bytes, size_t size_bytes);

/** Writes a RowDescription of text columns. */
void pg_write_columns(GByteArray *out, const char *const *names,
		      uint16_t names_count);

/** Writes a DataRow of text values; NULL stands for an SQL null. */
void pg_write_row(GByteArray *out, const char *const *values,
		  uint16_t values_count);

#endif
