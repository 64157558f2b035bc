#include "coordination/service_interest.h"

static uint32_t find(const service_keys_t *keys, uint64_t key)
{
	uint32_t i = 0;

	while (i < keys->count && keys->keys[i] != key)
		i++;
	return i;
}

bool service_keys_contain(const service_keys_t *keys, uint64_t key)
{
	return find(keys, key) < keys->count;
}

bool service_keys_add(service_keys_t *keys, uint64_t key)
{
	if (keys->count == SERVICE_INTEREST_MAX ||
	    service_keys_contain(keys, key))
		return false;
	keys->keys[keys->count++] = key;
	return true;
}

void service_keys_remove(service_keys_t *keys, uint64_t key)
{
	const uint32_t i = find(keys, key);

	if (i < keys->count)
		keys->keys[i] = keys->keys[--keys->count];
}

static void drop(service_interest_t *interest, uint32_t i)
{
	service_keys_remove(&interest->services, interest->services.keys[i]);
	interest->used_ms[i] = interest->used_ms[interest->services.count];
}

static uint32_t least_recent(const service_interest_t *interest)
{
	uint32_t oldest = 0;

	for (uint32_t i = 1; i < interest->services.count; i++)
		if (interest->used_ms[i] < interest->used_ms[oldest])
			oldest = i;
	return oldest;
}

void service_interest_used(service_interest_t *interest, uint64_t key,
			   uint64_t now_ms)
{
	uint32_t i = find(&interest->services, key);

	if (i == SERVICE_INTEREST_MAX) {
		drop(interest, least_recent(interest));
		i = interest->services.count;
	}
	if (i == interest->services.count)
		service_keys_add(&interest->services, key);
	interest->used_ms[i] = now_ms;
}

static void expire(service_interest_t *interest, uint64_t now_ms)
{
	for (uint32_t i = interest->services.count; i > 0; i--)
		if (now_ms >=
		    interest->used_ms[i - 1] + SERVICE_INTEREST_KEPT_MS)
			drop(interest, i - 1);
}

/* Adds the keys of one set that another one lacks. */
static void add_missing(const service_keys_t *keys, const service_keys_t *other,
			service_keys_t *missing)
{
	*missing = (service_keys_t){0};
	for (uint32_t i = 0; i < keys->count; i++)
		if (!service_keys_contain(other, keys->keys[i]))
			service_keys_add(missing, keys->keys[i]);
}

void service_interest_tell(service_interest_t *interest, service_keys_t *told,
			   service_keys_t *added, service_keys_t *removed,
			   uint64_t now_ms)
{
	expire(interest, now_ms);
	add_missing(&interest->services, told, added);
	add_missing(told, &interest->services, removed);
	*told = interest->services;
}
