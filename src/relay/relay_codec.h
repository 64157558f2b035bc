#ifndef RELAY_RELAY_CODEC_H
#define RELAY_RELAY_CODEC_H

#include <event2/buffer.h>
#include <glib.h>

#include "protocol/command.h"
#include "state/log_point.h"
#include "state/server_status.h"

/** Maximum size of a message that is accepted or sent. */
#define RELAY_MESSAGE_SIZE_BYTES_MAX (1024u * 1024)

/** Name of the service to which a node that follows a hub connects. */
#define RELAY_HUB_SERVICE "toucanhook.hub"

/** Why a statement or a connection failed. */
typedef enum {
	/* These prove that the attempt had no effect. */
	RELAY_ERROR_OVERLOADED,
	RELAY_ERROR_ABORTED,
	RELAY_ERROR_BEHIND, /**< the server lacks the requested log point */
	RELAY_ERROR_READ_ONLY,
	RELAY_ERROR_OTHER_SERVER, /**< another server has this address now */
	RELAY_ERROR_CONNECTION_LIMIT,
	/* The statement may or may not have had an effect. */
	RELAY_ERROR_IN_DOUBT,
	RELAY_ERROR_TIMEOUT,
	/* The statement ran and failed. */
	RELAY_ERROR_FAILED,
	/* The request itself is invalid. */
	RELAY_ERROR_UNKNOWN_NAME,
	RELAY_ERROR_MALFORMED,
	RELAY_ERROR_NO_DATABASE,
	RELAY_ERROR_UNAUTHORIZED, /**< unknown or withdrawn key */
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

/** One decoded message; relay_message_clear() frees its contents. */
typedef struct {
	relay_message_kind_t kind;
	char *encoded; /**< bytes as received, to be forwarded unchanged */
	size_t encoded_size;
	char *id;   /**< query: statement id; start-up: expected server id */
	bool own;   /**< query: a node's own statement, not a caller's */
	char *text; /**< statement, row, or name of the database or service */
	char *user; /**< start-up: key of a caller or name of a customer */
	relay_error_t error;
	char status; /**< ready: 'I' idle, 'T' in transaction, 'E' failed */
	log_point_t point; /**< ready: the server's log point, or zero */
} relay_message_t;

/** Result of decoding the bytes received so far. */
typedef enum {
	RELAY_DECODED,
	RELAY_INCOMPLETE, /**< more bytes are needed */
	RELAY_INVALID,	  /**< the error is set and the bytes are consumed */
} relay_decoded_t;

/** Control operations of a backend server or of another node. */
typedef enum {
	RELAY_CONTROL_STATUS,
	RELAY_CONTROL_FENCE,	 /**< stop receiving the log of lower terms */
	RELAY_CONTROL_RELEASE,	 /**< lift a fence */
	RELAY_CONTROL_STEP_DOWN, /**< stop being the primary of a lower term */
	RELAY_CONTROL_PROVE, /**< get another node's proof of the primaries */
} relay_control_t;

/** Status that a backend server returns for a control operation. */
typedef struct {
	server_role_t role;
	uint64_t term;
	log_point_t received; /**< last log point received */
	uint64_t fence;	      /**< term of the server's fence, or 0 */
	uint64_t lag_ms; /**< delay between receiving and applying the log */
} relay_status_t;

/**
 * The protocol of callers and backend servers. Encoders append to a buffer;
 * no function keeps state.
 */
typedef struct {
	/**
	 * Decodes the message at the start of a connection's input.
	 *
	 * @param searched_bytes bytes of the input that were searched for the
	 *        message's end before; 0 at first, kept by the calling code
	 */
	relay_decoded_t (*decode)(struct evbuffer *input,
				  size_t *searched_bytes,
				  relay_message_t *message, GError **error);
	void (*parse)(const char *text, command_t *command);
	/** @param customer NULL for a control connection or a node */
	void (*put_startup)(struct evbuffer *out, const char *service,
			    const char *customer, const char *server);
	/** @param id NULL for a statement that the proxy itself issues */
	void (*put_query)(struct evbuffer *out, const char *id,
			  log_point_t after, const char *text);
	void (*put_ready)(struct evbuffer *out, char status, log_point_t point);
	void (*put_row)(struct evbuffer *out, const char *text);
	void (*put_complete)(struct evbuffer *out);
	void (*put_error)(struct evbuffer *out, relay_error_t error,
			  const char *text);
	/** Build statements of the proxy itself; free with g_free(). */
	char *(*text_reset)(void);
	char *(*text_set)(const char *name, const char *value);
	char *(*text_prepare)(const char *name, const char *definition);
	char *(*text_execute)(const char *name, const char *arguments);
	char *(*text_close)(const char *name);
	char *(*text_control)(relay_control_t control, uint64_t term);
	/** Sets the customer of the statements that follow. */
	char *(*text_as)(const char *customer);
	/** Asks for the admission of operations of a customer. */
	char *(*text_admit)(const char *customer, uint32_t count);
	/** Asks for tokens of a customer for another quota leader. */
	char *(*text_lend)(const char *customer, uint32_t count);
	/** A request to a hub, see relay_hub_message.h. */
	char *(*text_follow)(const char *arguments);
	bool (*parse_status)(const char *row, relay_status_t *status);
} relay_codec_t;

/** @return whether the error proves that the attempt had no effect. */
bool relay_error_proves_no_effect(relay_error_t error);

/** @return the error's lower-case name for logs and metrics; never NULL. */
const char *relay_error_name(relay_error_t error);

/** Frees the contents of the message. */
void relay_message_clear(relay_message_t *message);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(relay_message_t, relay_message_clear)

#endif
