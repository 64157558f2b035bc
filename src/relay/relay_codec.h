#ifndef RELAY_RELAY_CODEC_H
#define RELAY_RELAY_CODEC_H

#include <event2/buffer.h>
#include <glib.h>

#include "protocol/command.h"
#include "state/log_point.h"
#include "state/server_status.h"

/** Largest message in either direction. */
#define RELAY_MESSAGE_SIZE_BYTES_MAX (1024u * 1024)

/** Why a statement or a connection failed. */
typedef enum {
	/* Proof that nothing of the caller's attempt is kept. */
	RELAY_ERROR_OVERLOADED,
	RELAY_ERROR_ABORTED,
	RELAY_ERROR_BEHIND, /**< the server lacks the point asked for */
	RELAY_ERROR_READ_ONLY,
	RELAY_ERROR_OTHER_SERVER, /**< the address belongs to another server */
	RELAY_ERROR_CONNECTION_LIMIT,
	/* Nothing is known of the effect. */
	RELAY_ERROR_IN_DOUBT,
	RELAY_ERROR_TIMEOUT,
	/* The statement ran, without success. */
	RELAY_ERROR_FAILED,
	/* The request itself is wrong. */
	RELAY_ERROR_UNKNOWN_NAME,
	RELAY_ERROR_MALFORMED,
	RELAY_ERROR_NO_DATABASE,
	RELAY_ERROR_OTHER,
	RELAY_ERROR_COUNT,
} relay_error_t;

typedef enum {
	RELAY_MESSAGE_STARTUP,
	RELAY_MESSAGE_QUERY,
	RELAY_MESSAGE_TERMINATE,
	RELAY_MESSAGE_ROW,
	RELAY_MESSAGE_COMPLETE,
	RELAY_MESSAGE_ERROR,
	RELAY_MESSAGE_READY,
} relay_message_kind_t;

/** One decoded message; freed by relay_message_clear(). */
typedef struct {
	relay_message_kind_t kind;
	char *encoded; /**< as received, to be passed on */
	size_t encoded_size;
	char *id;   /**< of a query; of the server that a start-up expects */
	char *text; /**< statement, row, name of the database or service */
	relay_error_t error;
	char status;	   /**< of ready: 'I', 'T' or 'E' */
	log_point_t point; /**< of ready; zero when there is none */
} relay_message_t;

typedef enum {
	RELAY_DECODED,
	RELAY_INCOMPLETE,
	RELAY_INVALID, /**< error is set, the bytes are consumed */
} relay_decoded_t;

/** Operations of the control connection. */
typedef enum {
	RELAY_CONTROL_STATUS,
	RELAY_CONTROL_FENCE,	 /**< stop receiving from lower terms */
	RELAY_CONTROL_RELEASE,	 /**< lift a fence */
	RELAY_CONTROL_STEP_DOWN, /**< stop leading a lower term */
	RELAY_CONTROL_PROVE,	 /**< of another node: what it has proved */
} relay_control_t;

/** What a backend server answers to a control operation. */
typedef struct {
	server_role_t role;
	uint64_t term;
	log_point_t received;
	uint64_t fence;	 /**< term of the fence it is under, or 0 */
	uint64_t lag_ms; /**< by which it applies later than it receives */
} relay_status_t;

/**
 * The protocol spoken with callers and backend servers. Encoders append to
 * a buffer; all are free of state.
 */
typedef struct {
	relay_decoded_t (*decode)(struct evbuffer *input,
				  relay_message_t *message, GError **error);
	void (*parse)(const char *text, command_t *command);
	void (*put_startup)(struct evbuffer *out, const char *service,
			    const char *server);
	/** @param id NULL for a statement of the proxy's own */
	void (*put_query)(struct evbuffer *out, const char *id,
			  log_point_t after, const char *text);
	void (*put_ready)(struct evbuffer *out, char status, log_point_t point);
	void (*put_row)(struct evbuffer *out, const char *text);
	void (*put_complete)(struct evbuffer *out);
	void (*put_error)(struct evbuffer *out, relay_error_t error,
			  const char *text);
	/** Texts of the proxy's own statements; free with g_free(). */
	char *(*text_reset)(void);
	char *(*text_set)(const char *name, const char *value);
	char *(*text_prepare)(const char *name, const char *definition);
	char *(*text_execute)(const char *name, const char *arguments);
	char *(*text_control)(relay_control_t control, uint64_t term);
	bool (*parse_status)(const char *row, relay_status_t *status);
} relay_codec_t;

/** @return whether the error proves that nothing is kept of the attempt. */
bool relay_error_is_promise(relay_error_t error);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *relay_error_name(relay_error_t error);

/** Frees what the message holds. */
void relay_message_clear(relay_message_t *message);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(relay_message_t, relay_message_clear)

#endif
