#include "relay/relay_source.h"

#include <inttypes.h>

#include "base/log.h"

catalog_t *relay_source_newer_catalog(const relay_source_t *source,
				      const kv_item_t *item,
				      const catalog_t *known)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(catalog_t) catalog =
		source->decode_catalog(item->value, &error);

	if (!catalog) {
		log_event(LOG_LEVEL_ERROR, "catalog_invalid",
			  "revision=%" PRId64 " reason=\"%s\"", item->revision,
			  error->message);
		return NULL;
	}
	if (known && catalog->version < known->version) {
		log_event(LOG_LEVEL_WARNING, "catalog_older",
			  "version=%" PRIu64 " known=%" PRIu64,
			  catalog->version, known->version);
		return NULL;
	}
	return g_steal_pointer(&catalog);
}
