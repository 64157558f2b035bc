#ifndef PROTOCOL_COMMAND_H
#define PROTOCOL_COMMAND_H

#include <stdbool.h>

#include <glib.h>

#include "state/log_point.h"

/** Kind of a statement, independent of the protocol that carried it. */
typedef enum {
	COMMAND_BEGIN,
	COMMAND_BEGIN_READ, /**< opens a read-only transaction */
	COMMAND_COMMIT,
	COMMAND_ROLLBACK,
	COMMAND_READ,
	COMMAND_WRITE,
	COMMAND_SET,	 /**< sets a session variable */
	COMMAND_PREPARE, /**< prepares a statement in the session */
	COMMAND_EXECUTE, /**< runs a prepared statement */
	COMMAND_CLOSE,	 /**< closes a prepared statement */
	COMMAND_RESET,	 /**< resets variables and closes prepared statements */
	COMMAND_PROVE,	 /**< another node queries the proofs of this node */
	COMMAND_FOLLOW,	 /**< another node follows this hub */
	COMMAND_AS,	 /**< sets the customer of a forwarded connection */
	COMMAND_ADMIT,	 /**< another node asks for a share of a quota */
	COMMAND_LEND,	 /**< another quota leader asks for tokens */
	COMMAND_INVALID,
	COMMAND_KIND_COUNT,
} command_kind_t;

/** One parsed statement with the parts that session and routing use. */
typedef struct {
	command_kind_t kind;
	char *name;  /**< variable or prepared statement, or NULL */
	char *value; /**< value of the variable, definition or arguments */
	bool writes; /**< COMMAND_PREPARE: the prepared statement writes */
	/**
	 * Statement text without the point that it must follow; points into
	 * the parsed input, and is all of it if that point is invalid.
	 */
	const char *text;
	log_point_t after; /**< point the server must have replayed, or zero */
} command_t;

/** Frees the strings of the command. */
void command_clear(command_t *command);

/** @return the kind's lower-case name for logs; never NULL. */
const char *command_kind_name(command_kind_t kind);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(command_t, command_clear)

#endif
