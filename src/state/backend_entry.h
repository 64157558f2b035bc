#ifndef STATE_BACKEND_ENTRY_H
#define STATE_BACKEND_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** A backend server as it registered itself. */
typedef struct {
	char *id;
	char *service;
	endpoint_t endpoint;
	char *failure_domain;
	uint32_t slots;	     /**< statements that it runs at once */
	bool draining;	     /**< it leaves and takes no new work */
	bool says_primary;   /**< it holds itself for the primary */
	uint64_t started_ms; /**< Unix time of its start, by its own clock */
} backend_entry_t;

/** Frees the entry; NULL is allowed. */
void backend_entry_delete(backend_entry_t *entry);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(backend_entry_t, backend_entry_delete)

#endif
