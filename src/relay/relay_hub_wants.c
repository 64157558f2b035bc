#include "relay/relay_hub_wants.h"

#include "coordination/owner.h"

struct relay_hub_wants {
	relay_services_t *services;
	bool named;	     /* only named services are wanted */
	service_keys_t keys; /* services named */
	/* For each of the keys: the service, NULL if unknown so far. */
	relay_service_t *found[SERVICE_INTEREST_MAX];
	uint64_t sent_ms[SERVICE_INTEREST_MAX]; /* newest point sent, or 0 */
	uint32_t known; /* number of services when they were looked up */
};

relay_hub_wants_t *relay_hub_wants_create(relay_services_t *services)
{
	relay_hub_wants_t *wants = g_new0(relay_hub_wants_t, 1);

	wants->services = services;
	return wants;
}

void relay_hub_wants_destroy(relay_hub_wants_t *wants)
{
	g_free(wants);
}

static void remove_key(relay_hub_wants_t *wants, uint64_t key)
{
	uint32_t i = 0;

	while (i < wants->keys.count && wants->keys.keys[i] != key)
		i++;
	if (i == wants->keys.count)
		return;
	service_keys_remove(&wants->keys, key);
	wants->found[i] = wants->found[wants->keys.count];
	wants->sent_ms[i] = wants->sent_ms[wants->keys.count];
}

static void add_key(relay_hub_wants_t *wants, uint64_t key)
{
	const uint32_t i = wants->keys.count;

	if (!service_keys_add(&wants->keys, key))
		return;
	wants->found[i] = NULL;
	wants->sent_ms[i] = 0;
	wants->known = 0;
}

void relay_hub_wants_update(relay_hub_wants_t *wants,
			    const hub_request_t *request)
{
	wants->named = request->named;
	if (!wants->named)
		wants->keys.count = 0;
	for (uint32_t i = 0; i < request->removed.count; i++)
		remove_key(wants, request->removed.keys[i]);
	for (uint32_t i = 0; i < request->added.count; i++)
		add_key(wants, request->added.keys[i]);
}

/* Services are never removed, so that one which was found stays. */
static void look_up(relay_hub_wants_t *wants)
{
	g_autoptr(GPtrArray) names = relay_services_names(wants->services);

	if (names->len == wants->known)
		return;
	wants->known = names->len;
	for (guint i = 0; i < names->len; i++) {
		const uint64_t key = owner_key(names->pdata[i]);

		for (uint32_t j = 0; j < wants->keys.count; j++)
			if (wants->keys.keys[j] == key)
				wants->found[j] = relay_services_find(
					wants->services, names->pdata[i]);
	}
}

GPtrArray *relay_hub_wants_list(relay_hub_wants_t *wants)
{
	GPtrArray *list = g_ptr_array_new();

	if (!wants->named) {
		g_autoptr(GPtrArray) names =
			relay_services_names(wants->services);

		for (guint i = 0; i < names->len; i++)
			g_ptr_array_add(list,
					relay_services_find(wants->services,
							    names->pdata[i]));
		return list;
	}
	look_up(wants);
	for (uint32_t i = 0; i < wants->keys.count; i++)
		if (wants->found[i])
			g_ptr_array_add(list, wants->found[i]);
	return list;
}

bool relay_hub_wants_point(relay_hub_wants_t *wants,
			   const relay_service_t *service, uint64_t sampled_ms)
{
	for (uint32_t i = 0; wants->named && i < wants->keys.count; i++) {
		if (wants->found[i] != service)
			continue;
		if (wants->sent_ms[i] >= sampled_ms)
			return false;
		wants->sent_ms[i] = sampled_ms;
	}
	return true;
}

bool relay_hub_wants_offer(const relay_hub_wants_t *wants)
{
	return !wants->named && relay_services_count(wants->services) >
					SERVICE_INTEREST_SERVICES_MIN;
}
