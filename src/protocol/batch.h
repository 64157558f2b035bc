#ifndef PROTOCOL_BATCH_H
#define PROTOCOL_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/pg_frame.h"
#include "protocol/statement.h"
#include "protocol/statement_cache.h"

/** Size limit of one batch, in bytes. */
#define BATCH_SIZE_BYTES_MAX (16u * 1024 * 1024)

/** Maximum number of different prepared statements in one batch. */
#define BATCH_SLOTS_MAX 64

/**
 * Extended-query messages of one session up to the next Sync, with the
 * session's prepared statements.
 *
 * Sessions share server connections, so a prepared statement cannot stay on
 * one. Each batch is therefore self-contained: before the first use of a
 * statement, the batch inserts a Close and a Parse of it under a name of the
 * batch, and it removes the answers to inserted messages from the answer.
 */
typedef struct batch batch_t;

/** Reason why a message was rejected; both texts are constant. */
typedef struct {
	const char *sqlstate;
	const char *message;
} batch_error_t;

/** One message of the batch. */
typedef struct {
	char type;   /**< message type: P, B, D, E or C */
	char target; /**< D and C: S (statement) or P (portal) */
	const statement_t *statement; /**< classification, or NULL if unknown */
} batch_step_t;

/** Properties of all statements of a batch together. */
typedef struct {
	uint32_t steps;	     /**< messages in the batch */
	uint32_t executed;   /**< Execute messages in the batch */
	bool writes;	     /**< executes a statement that needs the primary */
	bool begins;	     /**< executes a BEGIN */
	bool commits;	     /**< executes a COMMIT */
	bool rolls_back;     /**< executes a ROLLBACK */
	bool settings_only;  /**< uses session settings only */
	bool mixes_settings; /**< uses session settings and other statements */
	const char *refused; /**< unsupported feature that it uses, or NULL */
} batch_summary_t;

/** @param cache classifications of SQL texts; must outlive the batch */
batch_t *batch_create(statement_cache_t *cache);
void batch_destroy(batch_t *batch);

/**
 * Adds a Parse, Bind, Describe, Execute or Close message.
 *
 * @return false with @p error set if the message is rejected; the batch must
 *         then be cleared with batch_clear()
 */
bool batch_add(batch_t *batch, const pg_message_t *message,
	       batch_error_t *error);

/** @return the properties of all statements of the batch. */
batch_summary_t batch_summarize(const batch_t *batch);

/** @return whether the batch holds neither Bind nor Execute messages. */
bool batch_only_prepares(const batch_t *batch);

/** @return the messages in order; valid until the batch changes. */
const batch_step_t *batch_steps(const batch_t *batch, uint32_t *steps_count);

/** @return the bytes to send to the server, with Sync at the end. */
GBytes *batch_bytes(const batch_t *batch);

/** @return whether batch_filter() still has answers to remove. */
bool batch_has_hidden_answers(const batch_t *batch);

/**
 * Appends the answer's messages to @p out, without the answers to inserted
 * messages.
 *
 * @param bytes complete messages of the server
 */
void batch_filter(batch_t *batch, const uint8_t *bytes, size_t size_bytes,
		  GByteArray *out);

/** Removes all messages; the prepared statements remain. */
void batch_clear(batch_t *batch);

/** Removes all messages and all prepared statements. */
void batch_forget_prepared(batch_t *batch);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(batch_t, batch_destroy)

#endif
