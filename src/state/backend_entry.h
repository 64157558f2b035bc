#ifndef STATE_BACKEND_ENTRY_H
#define STATE_BACKEND_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** Maximum length of a server's id, which records and takeovers keep. */
#define BACKEND_ID_SIZE_BYTES_MAX 63u

/** A backend server's registration with the platform. */
typedef struct {
	char *id;
	char *service;
	endpoint_t endpoint;
	char *failure_domain;
	uint32_t slots;	      /**< maximum concurrent statements */
	bool draining;	      /**< shutting down, takes no new work */
	bool reports_primary; /**< the server reports the primary role */
	uint64_t started_ms;  /**< start time by the server's clock, Unix ms */
	uint64_t sequence;    /**< number of the report since the start */
} backend_entry_t;

/** Frees the entry; NULL is allowed. */
void backend_entry_delete(backend_entry_t *entry);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(backend_entry_t, backend_entry_delete)

#endif
