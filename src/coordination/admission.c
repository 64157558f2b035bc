#include "coordination/admission.h"

#include <glib.h>

/* Divisor of a new value in the moving average of the service time. */
#define MEAN_DIVISOR 8

/* Virtual time that one request costs a tenant of weight 1. */
#define REQUEST_COST 1000000u

typedef struct tenant tenant_t;

typedef struct {
	uint64_t id;
	tenant_t *tenant;
	uint32_t class_index;
	GList *link; /* position in the queue of its class */
} entry_t;

typedef struct {
	GQueue queue; /* entry_t */
	uint32_t weight;
	uint32_t passed_over; /* requests of other classes since its last one */
} class_t;

struct tenant {
	uint64_t virtual_time;
	uint32_t weight;
	uint32_t count;
	class_t classes[ADMISSION_CLASSES_MAX];
};

struct admission {
	GHashTable *entries; /* id -> entry_t */
	GHashTable *tenants; /* name -> tenant_t */
	uint64_t virtual_time;
	uint64_t mean_us;
};

static void tenant_free(gpointer data)
{
	tenant_t *tenant = data;
	size_t i;

	for (i = 0; i < ADMISSION_CLASSES_MAX; i++)
		g_queue_clear(&tenant->classes[i].queue);
	g_free(tenant);
}

admission_t *admission_create(void)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	admission->tenants = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, tenant_free);
	return admission;
}

void admission_destroy(admission_t *admission)
{
	if (!admission)
		return;
	g_hash_table_destroy(admission->entries);
	g_hash_table_destroy(admission->tenants);
	g_free(admission);
}

static tenant_t *tenant_get(admission_t *admission, const char *name)
{
	tenant_t *tenant = g_hash_table_lookup(admission->tenants, name);

	if (tenant)
		return tenant;
	tenant = g_new0(tenant_t, 1);
	g_hash_table_insert(admission->tenants, g_strdup(name), tenant);
	return tenant;
}

static uint32_t active_tenants(const admission_t *admission)
{
	GHashTableIter iter;
	gpointer value = NULL;
	uint32_t active = 0;

	g_hash_table_iter_init(&iter, admission->tenants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		active += ((const tenant_t *)value)->count > 0;
	return active;
}

/*
 * Estimates the wait of a new request: the requests of its tenant that are
 * served before it, times the number of tenants that are served in turn.
 */
static uint64_t estimate_wait_ms(const admission_t *admission,
				 const tenant_t *tenant, uint32_t class_index,
				 uint32_t connections)
{
	uint64_t ahead = 0;
	uint32_t i;

	for (i = 0; i <= class_index; i++)
		ahead += tenant->classes[i].queue.length;
	ahead *= MAX(active_tenants(admission), 1);
	return ahead * admission->mean_us / MAX(connections, 1) / 1000;
}

static void enqueue(admission_t *admission, tenant_t *tenant,
		    const admission_request_t *request)
{
	class_t *class = &tenant->classes[request->class_index];
	entry_t *entry = g_new0(entry_t, 1);

	entry->id = request->id;
	entry->tenant = tenant;
	entry->class_index = request->class_index;
	/* A tenant does not accumulate credit while it has no requests. */
	if (!tenant->count)
		tenant->virtual_time =
			MAX(tenant->virtual_time, admission->virtual_time);
	if (!class->queue.length)
		class->passed_over = 0;
	g_queue_push_tail(&class->queue, entry);
	entry->link = class->queue.tail;
	tenant->count++;
	g_hash_table_insert(admission->entries, &entry->id, entry);
}

admission_result_t admission_offer(admission_t *admission,
				   const admission_request_t *request,
				   uint32_t connections, uint64_t now_ms)
{
	tenant_t *tenant = tenant_get(admission, request->tenant);
	const uint32_t class_index =
		MIN(request->class_index, ADMISSION_CLASSES_MAX - 1);
	class_t *class = &tenant->classes[class_index];
	admission_request_t bounded = *request;

	g_assert(request->id &&
		 !g_hash_table_contains(admission->entries, &request->id));
	tenant->weight = MAX(request->tenant_weight, 1);
	class->weight = MAX(request->class_weight, 1);
	bounded.class_index = class_index;
	if (class->queue.length >= request->queue_limit)
		return ADMISSION_FULL;
	if (now_ms + estimate_wait_ms(admission, tenant, class_index,
				      connections) >
	    request->deadline_ms)
		return ADMISSION_PAST_DEADLINE;
	enqueue(admission, tenant, &bounded);
	return ADMISSION_QUEUED;
}

static void remove_entry(admission_t *admission, entry_t *entry)
{
	g_queue_delete_link(&entry->tenant->classes[entry->class_index].queue,
			    entry->link);
	entry->tenant->count--;
	g_hash_table_remove(admission->entries, &entry->id);
}

static tenant_t *next_tenant(admission_t *admission)
{
	GHashTableIter iter;
	gpointer key = NULL;
	gpointer value = NULL;
	tenant_t *best = NULL;
	const char *best_name = NULL;

	g_hash_table_iter_init(&iter, admission->tenants);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		tenant_t *tenant = value;

		if (!tenant->count)
			continue;
		if (best && (tenant->virtual_time > best->virtual_time ||
			     (tenant->virtual_time == best->virtual_time &&
			      g_strcmp0(key, best_name) > 0)))
			continue;
		best = tenant;
		best_name = key;
	}
	return best;
}

/*
 * Returns the first class with requests, unless a lower class was passed over
 * as often as its weight allows.
 */
static class_t *next_class(tenant_t *tenant)
{
	class_t *first = NULL;
	uint32_t weights = 0;
	size_t i;

	for (i = 0; i < ADMISSION_CLASSES_MAX; i++)
		if (tenant->classes[i].queue.length)
			weights += tenant->classes[i].weight;
	for (i = 0; i < ADMISSION_CLASSES_MAX; i++) {
		class_t *class = &tenant->classes[i];

		if (!class->queue.length)
			continue;
		if (!first)
			first = class;
		if (class->passed_over * class->weight >= weights)
			return class;
	}
	return first;
}

static void charge(admission_t *admission, tenant_t *tenant, class_t *chosen)
{
	size_t i;

	for (i = 0; i < ADMISSION_CLASSES_MAX; i++)
		if (tenant->classes[i].queue.length)
			tenant->classes[i].passed_over++;
	chosen->passed_over = 0;
	admission->virtual_time = tenant->virtual_time;
	tenant->virtual_time += REQUEST_COST / tenant->weight;
}

uint64_t admission_next(admission_t *admission)
{
	tenant_t *tenant = next_tenant(admission);
	class_t *class = NULL;
	entry_t *entry = NULL;
	uint64_t id;

	if (!tenant)
		return 0;
	class = next_class(tenant);
	entry = g_queue_peek_head(&class->queue);
	id = entry->id;
	charge(admission, tenant, class);
	remove_entry(admission, entry);
	return id;
}

bool admission_cancel(admission_t *admission, uint64_t id)
{
	entry_t *entry = g_hash_table_lookup(admission->entries, &id);

	if (!entry)
		return false;
	remove_entry(admission, entry);
	return true;
}

void admission_served(admission_t *admission, uint64_t service_us)
{
	if (!admission->mean_us) {
		admission->mean_us = service_us;
		return;
	}
	admission->mean_us -= admission->mean_us / MEAN_DIVISOR;
	admission->mean_us += service_us / MEAN_DIVISOR;
}

uint32_t admission_count(const admission_t *admission)
{
	return g_hash_table_size(admission->entries);
}
