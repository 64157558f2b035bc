#ifndef PROTOCOL_COMMAND_H
#define PROTOCOL_COMMAND_H

#include <stdbool.h>

#include <glib.h>

#include "state/log_point.h"

/** What a statement asks for, whatever protocol carried it. */
typedef enum {
	COMMAND_BEGIN,
	COMMAND_BEGIN_READ, /**< a transaction that only reads */
	COMMAND_COMMIT,
	COMMAND_ROLLBACK,
	COMMAND_READ,
	COMMAND_WRITE,
	COMMAND_SET,	 /**< sets a session variable */
	COMMAND_PREPARE, /**< names a statement within the session */
	COMMAND_EXECUTE, /**< runs a prepared statement */
	COMMAND_CLOSE,	 /**< forgets a prepared statement */
	COMMAND_RESET,	 /**< forgets variables and prepared statements */
	COMMAND_PROVE,	 /**< of another node: tells what this one has proved */
	COMMAND_INVALID,
	COMMAND_KIND_COUNT,
} command_kind_t;

/** One statement, split into what session and routing need of it. */
typedef struct {
	command_kind_t kind;
	char *name;	  /**< of the variable or prepared statement, or NULL */
	char *value;	  /**< variable's value, definition, or arguments */
	bool writes;	  /**< COMMAND_PREPARE: the prepared statement writes */
	const char *text; /**< the statement itself, within what was parsed */
	log_point_t after; /**< point that the server must have, or zero */
} command_t;

/** Frees what the command holds. */
void command_clear(command_t *command);

/** @return a lower-case name for logs; never NULL. */
const char *command_kind_name(command_kind_t kind);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(command_t, command_clear)

#endif
