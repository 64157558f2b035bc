#ifndef PROTOCOL_BATCH_H
#define PROTOCOL_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/pg_frame.h"
#include "protocol/statement.h"
#include "protocol/statement_cache.h"

/** Most bytes of one batch. */
#define BATCH_SIZE_BYTES_MAX (16u * 1024 * 1024)

/** Most different prepared statements that one batch uses. */
#define BATCH_SLOTS_MAX 64

/**
 * The extended-query messages of one session up to its Sync, and the
 * prepared statements that the session made before.
 *
 * Server connections are shared between sessions, so no statement can be
 * left on one. Each batch is made whole instead: a statement that it uses is
 * parsed again in front of its first use, under a name that belongs to the
 * batch, and the answers to what was put in are taken out again.
 */
typedef struct batch batch_t;

/** Why a message was not taken; constant texts. */
typedef struct {
	const char *sqlstate;
	const char *message;
} batch_error_t;

/** One message of the batch. */
typedef struct {
	char type;		      /**< P B D E C */
	char target;		      /**< S or P, for D and C */
	const statement_t *statement; /**< NULL when it is not known */
} batch_step_t;

/** What the statements of a batch ask for together. */
typedef struct {
	uint32_t steps;
	uint32_t executed;
	bool writes;	     /**< executes more than reads */
	bool begins;	     /**< executes a BEGIN */
	bool commits;	     /**< executes a COMMIT */
	bool rolls_back;     /**< executes a ROLLBACK */
	bool local;	     /**< holds nothing but session settings */
	bool mixed;	     /**< session settings beside other statements */
	const char *refused; /**< why it cannot run, or NULL */
} batch_summary_t;

/** @param cache classes of texts; kept, not owned */
batch_t *batch_create(statement_cache_t *cache);
void batch_destroy(batch_t *batch);

/**
 * Adds Parse, Bind, Describe, Execute or Close.
 *
 * @return false with @p error set; the batch is then of no use until
 *         batch_clear()
 */
bool batch_add(batch_t *batch, const pg_message_t *message,
	       batch_error_t *error);

batch_summary_t batch_summarize(const batch_t *batch);

/** @return whether the batch neither binds nor executes. */
bool batch_only_prepares(const batch_t *batch);

/** @return the messages in their order; valid until the next change. */
const batch_step_t *batch_steps(const batch_t *batch, uint32_t *steps_count);

/** @return the bytes for the server, with Sync. */
GBytes *batch_bytes(const batch_t *batch);

/** Whether anything has to be taken out of the answer. */
bool batch_hides(const batch_t *batch);

/** Copies whole messages of the answer without what the caller must not see. */
void batch_filter(batch_t *batch, const uint8_t *bytes, size_t size_bytes,
		  GByteArray *out);

/** Forgets the messages, keeps the prepared statements. */
void batch_clear(batch_t *batch);

/** Forgets the prepared statements, too. */
void batch_forget(batch_t *batch);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(batch_t, batch_destroy)

#endif
