#ifndef RELAY_RELAY_SOURCE_H
#define RELAY_RELAY_SOURCE_H

#include "state/backend_entry.h"
#include "state/catalog.h"
#include "store/kv_store.h"

/** Keys and decoders of the catalog and the backend servers in the store. */
typedef struct {
	const char *catalog_key;
	const char *backends_prefix;
	/** @return the catalog, or NULL with @p error set */
	catalog_t *(*decode_catalog)(GBytes *bytes, GError **error);
	/** @return the entry, or NULL with @p error set */
	backend_entry_t *(*decode_backend)(const char *key, GBytes *bytes,
					   GError **error);
} relay_source_t;

/**
 * Decodes a catalog that a store or a hub reports. Withdrawn keys must stay
 * withdrawn: a copy of the store may be older than what the node knows.
 *
 * @param known catalog in force, or NULL
 * @return the catalog, or NULL if it is invalid or older than @p known
 */
catalog_t *relay_source_newer_catalog(const relay_source_t *source,
				      const kv_item_t *item,
				      const catalog_t *known);

#endif
