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

/** Largest message that a caller may send. */
#define SESSION_MESSAGE_SIZE_BYTES_MAX (16u * 1024 * 1024)

/** Bytes read ahead while a request runs. */
#define SESSION_READ_AHEAD_SIZE_BYTES (256u * 1024)

/** Bytes that wait for a slow caller; a session above it is closed. */
#define SESSION_OUTPUT_SIZE_BYTES_MAX (64u * 1024 * 1024)

/** Longest time from connection to the end of the login. */
#define SESSION_LOGIN_TIMEOUT_MS 60000

/** Bytes of a node's secret, from which unknown callers get their salt. */
#define SESSION_HOST_SECRET_SIZE_BYTES 32

/** Silence after which a session of a leaving node is closed. */
#define SESSION_DRAIN_SILENCE_MS 100

/** How long a leaving node still runs what its sessions ask for. */
#define SESSION_DRAIN_SERVE_MS 2000

/** One caller's connection. Its parts are private to session*.c. */
typedef struct session session_t;

/** What all sessions of a node share; owned by the callers task. */
typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	callers_dispatch_t dispatch;
	const config_t *config;	 /**< NULL before the first */
	uint64_t config_version; /**< grows with every configuration */
	SSL_CTX *tls;		 /**< NULL for no TLS */
	statement_cache_t *statements;
	uint8_t secret[SESSION_HOST_SECRET_SIZE_BYTES]; /**< of this process */
	uint64_t next_request_id;
	bool draining;
	uint64_t drain_started_ms;
	/** A CancelRequest arrived; the key has not been checked. */
	void (*cancel)(void *context, uint32_t process_id, uint32_t secret);
	/** The session is about to be freed. */
	void (*ended)(void *context, session_t *session);
	void *context;
} session_host_t;

typedef enum {
	SESSION_STARTUP,    /**< waits for a start-up packet */
	SESSION_SASL_FIRST, /**< waits for the client's first message */
	SESSION_SASL_FINAL, /**< waits for the proof */
	SESSION_READY,	    /**< takes statements */
	SESSION_BUSY,	    /**< a request runs */
	SESSION_CLOSING,    /**< writes what is left, reads no more */
} session_state_t;

/** A barrier that was asked for; outlives its session if need be. */
typedef struct {
	session_t *session;
} session_barrier_t;

/** What one request does to the session. */
typedef struct {
	request_kind_t kind;
	bool begins;
	bool commits;
	bool rolls_back;
	bool extended; /**< its answer ends a batch */
	bool flushes;  /**< no ReadyForQuery behind it */
} session_work_t;

/** The request that runs. */
typedef struct {
	session_work_t work;
	uint64_t request_id; /**< 0 before it is submitted */
	uint64_t started_us;
	bool failed;		    /**< an ErrorResponse went by */
	bool keyed;		    /**< it carries the request key */
	bool already_done;	    /**< its key was used before (TH005) */
	request_t *request;	    /**< kept while a barrier is awaited */
	session_barrier_t *barrier; /**< NULL when none is awaited */
} session_run_t;

struct session {
	session_host_t *host;
	struct bufferevent *bev;
	struct event *timer;
	struct event *ending;
	session_state_t state;
	uint64_t session_id;
	uint32_t process_id;
	uint32_t secret;
	bool encrypted;
	bool discards; /**< skips extended messages up to Sync */

	char *user;
	char *database;
	char *tenant;
	char *class_name;
	uint32_t class_index;
	uint32_t class_timeout_ms;
	uint32_t class_max_age_ms;
	uint64_t config_version;
	scram_t *scram;
	session_settings_t *settings;
	batch_t *batch;

	char status;	   /**< as in ReadyForQuery */
	uint64_t lease_id; /**< transaction's connection, 0 for none */
	session_run_t run;
	GHashTable *counters; /**< label text -> metric_t, not owned */
	metric_histogram_t *delay[REQUEST_KIND_COUNT];
};

/** Takes over a connected socket. */
session_t *session_create(session_host_t *host, evutil_socket_t fd,
			  uint64_t session_id, uint32_t process_id,
			  uint32_t secret);

/** Ends and frees the session: what runs is cancelled, no answer is written. */
void session_destroy(session_t *session);

/** Frees the session soon, from outside the call that asks for it. */
void session_end_later(session_t *session);

/** Cancels what runs, as the caller asked. */
void session_cancel(session_t *session);

/** @return whether a request or a transaction is open. */
bool session_is_busy(const session_t *session);

/**
 * Says goodbye (57P01) once nothing is open and the caller has been silent
 * for SESSION_DRAIN_SILENCE_MS.
 */
void session_drain(session_t *session);

/** @return whether a new statement must be refused since the node leaves. */
bool session_is_drained(const session_t *session);

/** Appends bytes to what the caller gets. */
void session_write(session_t *session, const GByteArray *bytes);

/** Writes a FATAL error and closes. */
void session_fatal(session_t *session, const char *sqlstate,
		   const char *message);

/** Takes what the caller has sent so far, unless a request runs. */
void session_process(session_t *session);

/**
 * Reads the caller's place and class from the configuration.
 *
 * @return false when database or caller is no longer there
 */
bool session_refresh(session_t *session);

#endif
