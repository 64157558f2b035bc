#ifndef RELAY_RELAY_HUB_MESSAGE_H
#define RELAY_RELAY_HUB_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/service_interest.h"
#include "state/log_point.h"
#include "store/kv_store.h"

/**
 * What a hub sends to the nodes of its failure domain: changes of the store,
 * proofs of the primaries and points of their logs. An answer is a list of
 * texts, one for each entry. Times are on the hub's boot clock.
 */

/** The followed parts of the store. */
typedef enum {
	HUB_STREAM_CATALOG,   /**< configuration, backend servers and hubs */
	HUB_STREAM_PRIMARIES, /**< primary records */
	HUB_STREAM_COUNT,
} hub_stream_t;

/** A proof that one primary is current. */
typedef struct {
	char *service;
	uint64_t term;
	uint64_t until_ms;
} hub_proof_t;

/** A point that a primary's log had reached. */
typedef struct {
	char *service;
	uint64_t term; /**< term of the primary record */
	log_point_t point;
	uint64_t sampled_ms; /**< when the primary was asked */
} hub_sample_t;

/** Changes of one part of the store. */
typedef struct {
	int64_t revision; /**< all changes up to it are included or known */
	bool whole;	  /**< @p items are all keys that exist */
	GPtrArray *items; /**< kv_item_t */
} hub_changes_t;

typedef struct {
	uint64_t received_ms; /**< when the hub received the request */
	uint64_t until_ms;    /**< end of the proof of all primaries, or 0 */
	hub_changes_t changes[HUB_STREAM_COUNT];
	GPtrArray *proofs;  /**< hub_proof_t, of single primaries */
	GPtrArray *samples; /**< hub_sample_t */
	bool takes_names;   /**< requests to this hub may name services */
} hub_answer_t;

/** The revisions that a node knows; the request for what came after them. */
typedef struct {
	int64_t revisions[HUB_STREAM_COUNT];
	/**
	 * Proofs and points are wanted of the named services alone; else of
	 * all. Requests of earlier versions name none.
	 */
	bool named;
	service_keys_t removed; /**< no longer wanted, applied first */
	service_keys_t added; /**< wanted besides those named before on the same
				 connection */
} hub_request_t;

typedef enum {
	HUB_MESSAGE_ERROR_TYPE,	 /**< an entry of an unknown type */
	HUB_MESSAGE_ERROR_FIELD, /**< a field is missing or invalid */
} hub_message_error_t;

#define HUB_MESSAGE_ERROR (hub_message_error_quark())
GQuark hub_message_error_quark(void);

/** @return the request as text; free with g_free() */
char *hub_request_encode(const hub_request_t *request);

/** @return false if @p text is not a request */
bool hub_request_decode(const char *text, hub_request_t *request);

/** Encode the entries of an answer; free the texts with g_free(). */
char *hub_encode_head(const hub_answer_t *answer);
char *hub_encode_item(hub_stream_t stream, const kv_item_t *item);
char *hub_encode_proof(const hub_proof_t *proof);
char *hub_encode_sample(const hub_sample_t *sample);

/** The entry that allows names; earlier versions ignore it. */
char *hub_encode_takes_names(void);

hub_answer_t *hub_answer_new(void);

/** NULL is allowed. */
void hub_answer_delete(hub_answer_t *answer);

/**
 * Decodes an answer.
 *
 * @param rows const char *, the first is the head
 * @return the answer, or NULL with @p error set, see hub_message_error_t
 */
hub_answer_t *hub_answer_decode(const GPtrArray *rows, GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(hub_answer_t, hub_answer_delete)

#endif
