#ifndef RELAY_RELAY_SOURCE_H
#define RELAY_RELAY_SOURCE_H

#include "state/backend_entry.h"
#include "state/catalog.h"

/** Keys and decoders of the catalog and the backend servers in the store. */
typedef struct {
	const char *catalog_prefix;
	const char *catalog_key;
	const char *backends_prefix;
	/** @return the catalog, or NULL with @p error set */
	catalog_t *(*decode_catalog)(GBytes *bytes, GError **error);
	/** @return the entry, or NULL with @p error set */
	backend_entry_t *(*decode_backend)(const char *key, GBytes *bytes,
					   GError **error);
} relay_source_t;

#endif
