#ifndef DAEMON_SESSION_H
#define DAEMON_SESSION_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <openssl/ssl.h>

#include "base/metrics.h"
#include "daemon/callers_task.h"
#include "protocol/batch.h"
#include "protocol/scram.h"
#include "state/config.h"
#include "state/session_settings.h"

/** Maximum size of a caller's message. */
#define SESSION_MESSAGE_SIZE_BYTES_MAX (16u * 1024 * 1024)

/** Maximum size of the input that is buffered while a request runs. */
#define SESSION_READ_AHEAD_SIZE_BYTES (256u * 1024)

/** Maximum size of unsent output; a session that exceeds it is closed. */
#define SESSION_OUTPUT_SIZE_BYTES_MAX (64u * 1024 * 1024)

/** Maximum time from the connection to the end of the login. */
#define SESSION_LOGIN_TIMEOUT_MS 60000

/** Size of a node's secret, from which the salts of unknown callers derive. */
#define SESSION_HOST_SECRET_SIZE_BYTES 32

/** Idle time after which a session of a leaving node is closed. */
#define SESSION_DRAIN_IDLE_MS 100

/** Time for which a leaving node still runs new statements of its sessions. */
#define SESSION_DRAIN_GRACE_MS 2000

/** One caller's connection. Its fields are private to session*.c. */
typedef struct session session_t;

/** State shared by all sessions of a node; owned by the callers task. */
typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	callers_dispatch_t dispatch;
	const config_t *config;	 /**< NULL before the first one arrives */
	uint64_t config_version; /**< incremented by every configuration */
	SSL_CTX *tls;		 /**< NULL if TLS is off */
	statement_cache_t *statements;
	/** Random bytes of this process. */
	uint8_t secret[SESSION_HOST_SECRET_SIZE_BYTES];
	uint64_t next_request_id;
	drain_plan_t drain; /**< on the clock of clock_now_ms() */
	/** Handles a CancelRequest, whose key is still unchecked. */
	void (*cancel)(void *context, uint32_t process_id, uint32_t secret);
	/** Removes a session that is about to be freed. */
	void (*ended)(void *context, session_t *session);
	void *context;
} session_host_t;

typedef enum {
	SESSION_STARTUP,	    /**< waits for the start-up packet */
	SESSION_SCRAM_CLIENT_FIRST, /**< waits for client-first message */
	SESSION_SCRAM_CLIENT_FINAL, /**< waits for client-final message */
	SESSION_READY,		    /**< waits for statements */
	SESSION_BUSY,		    /**< a request runs */
	SESSION_CLOSING,	    /**< writes pending output, reads nothing */
} session_state_t;

/** Context of a running barrier; may outlive its session. */
typedef struct {
	session_t *session; /**< NULL if the session no longer waits for it */
} session_barrier_t;

/** What a request's statements do, and how its answer ends. */
typedef struct {
	request_kind_t kind;
	bool begins;	      /**< executes a BEGIN */
	bool commits;	      /**< executes a COMMIT */
	bool rolls_back;      /**< executes a ROLLBACK */
	bool extended;	      /**< is a batch of the extended query protocol */
	bool ends_with_flush; /**< ends with Flush: no ReadyForQuery follows */
} session_request_traits_t;

/** The running request of a session. */
typedef struct {
	session_request_traits_t traits;
	uint64_t request_id; /**< 0 before the request is submitted */
	uint64_t started_us;
	bool failed;		    /**< the answer contains an ErrorResponse */
	bool carries_key;	    /**< the request carries the request key */
	request_t *request;	    /**< kept while a barrier runs, or NULL */
	session_barrier_t *barrier; /**< running barrier, or NULL */
} session_run_t;

struct session {
	session_host_t *host;
	struct bufferevent *bev;
	struct event *timer;	    /**< login, drain and close timeouts */
	struct event *deferred_end; /**< frees the session */
	session_state_t state;
	uint64_t session_id;
	uint32_t process_id;	 /**< key data for a CancelRequest */
	uint32_t secret;	 /**< key data for a CancelRequest */
	size_t read_limit_bytes; /**< reading pauses at this much input */
	bool encrypted;		 /**< the connection uses TLS */
	bool skips_until_sync;	 /**< ignores extended query messages */

	char *user;
	char *database;
	char *tenant; /**< service of the database */
	char *class_name;
	uint32_t class_index;
	uint32_t class_timeout_ms;
	uint32_t class_max_age_ms;
	uint64_t config_version; /**< version of tenant and class */
	scram_t *scram;
	session_settings_t *settings;
	batch_t *batch;

	char status;	       /**< transaction status as in ReadyForQuery */
	bool barrier_required; /**< the token may lack a change */
	uint64_t lease_id; /**< lease of the transaction's connection, or 0 */
	session_run_t run;
	GHashTable *counters; /**< label text -> metric_t, not owned */
	/** Histograms of the request delay; NULL before the first request. */
	metric_histogram_t *delay[REQUEST_KIND_COUNT];
};

/** Creates a session on a connected socket, which the session owns. */
session_t *session_create(session_host_t *host, evutil_socket_t fd,
			  uint64_t session_id, uint32_t process_id,
			  uint32_t secret);

/** Frees the session; a running request is cancelled without an answer. */
void session_destroy(session_t *session);

/** Frees the session from the event loop, after this call has returned. */
void session_end_later(session_t *session);

/** Cancels the running request, if any, and reports this to the caller. */
void session_cancel(session_t *session);

/** @return whether a request or a transaction is open */
bool session_is_busy(const session_t *session);

/**
 * Closes the session with error 57P01: at once during the login, otherwise
 * when it has no open request or transaction and the caller has been idle for
 * SESSION_DRAIN_IDLE_MS. Has no effect while a request or transaction is
 * open; the session calls it again at its end.
 */
void session_drain(session_t *session);

/**
 * Ends the session of a leaving node: answers its request with what is known of
 * it, rolls its transaction back and closes it with error 57P01.
 */
void session_finish(session_t *session);

/** @return whether new statements are refused because the node is leaving */
bool session_refuses_statements(const session_t *session);

/** Appends bytes to the session's output. */
void session_write(session_t *session, const GByteArray *bytes);

/** Writes a FATAL error and closes the session. */
void session_fatal(session_t *session, const char *sqlstate,
		   const char *message);

/** Handles the buffered messages of the caller until a request runs. */
void session_process(session_t *session);

/**
 * Reads the caller's tenant and class from the configuration if it is new.
 *
 * @return false if the database or the caller is no longer configured
 */
bool session_refresh(session_t *session);

#endif
