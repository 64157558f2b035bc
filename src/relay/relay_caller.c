#include "relay/relay_caller.h"

#include <string.h>

#include <sodium.h>

#include "base/log.h"

void relay_caller_init(relay_caller_t *caller, char *key)
{
	*caller = (relay_caller_t){.key = customer_key_of(key)};
	if (key)
		sodium_memzero(key, strlen(key));
	g_free(key);
}

static const catalog_customer_t *find_customer(const relay_caller_t *caller,
					       const catalog_t *catalog)
{
	return catalog->identifies_callers ?
		       customer_index_find(catalog->keys, &caller->key) :
		       NULL;
}

relay_caller_check_t relay_caller_identify(relay_caller_t *caller,
					   const catalog_t *catalog,
					   const catalog_database_t *database)
{
	caller->customer = find_customer(caller, catalog);
	caller->was_known |= caller->customer != NULL;
	if (caller->customer || database->is_public ||
	    !catalog->identifies_callers)
		return RELAY_CALLER_KNOWN;
	return caller->was_known ? RELAY_CALLER_WITHDRAWN :
				   RELAY_CALLER_UNKNOWN;
}

bool relay_caller_is_unchanged(const relay_caller_t *caller,
			       const catalog_t *newest,
			       const catalog_database_t *database)
{
	const catalog_customer_t *customer = find_customer(caller, newest);
	const catalog_database_t *current =
		catalog_database(newest, database->name);

	/* An open transaction may outlive the entry of its database. */
	if (!current)
		current = database;
	if (customer && caller->customer)
		return !strcmp(customer->name, caller->customer->name);
	return !customer && !caller->customer &&
	       (current->is_public || !newest->identifies_callers);
}

void relay_caller_report(relay_caller_check_t check, const char *database,
			 metrics_t *metrics)
{
	const char *reason =
		check == RELAY_CALLER_WITHDRAWN ? "withdrawn" : "unknown";
	g_autofree char *labels = metrics_labels("reason", reason, NULL);

	log_event(LOG_LEVEL_INFO, "caller_unauthorized",
		  "database=%s reason=%s", database, reason);
	if (metrics)
		metric_add(metrics_counter(metrics,
					   "toucanhook_unauthorized_total",
					   labels),
			   1);
}
