#include "store/kv_store.h"

void kv_store_destroy(kv_store_t *store)
{
	if (!store)
		return;
	store->calls->destroy(store->self);
	g_free(store);
}

const char *kv_result_name(kv_result_t result)
{
	static const char *const names[] = {"ok",	 "absent",  "conflict",
					    "compacted", "refused", "unknown",
					    "too_large"};

	return names[result];
}

void kv_item_free(kv_item_t *item)
{
	g_free(item->key);
	g_clear_pointer(&item->value, g_bytes_unref);
	g_free(item);
}
