#include "ctl/ctl_platform.h"

#include <stdio.h>
#include <string.h>

#include "state/config_codec.h"

struct ctl_platform {
	struct event_base *base;
	store_t *store;
	bool answered;	       /* the current call has ended */
	store_result_t result; /* result of the last call */
	uint64_t index;	       /* modification index from the last call */
	GBytes *bytes;	       /* value from the last call */
};

ctl_platform_t *ctl_platform_create(const ctl_endpoint_t *endpoint)
{
	ctl_platform_t *platform = g_new0(ctl_platform_t, 1);

	platform->base = event_base_new();
	platform->store = store_consul_create(platform->base, endpoint->address,
					      endpoint->port);
	return platform;
}

void ctl_platform_destroy(ctl_platform_t *platform)
{
	if (!platform)
		return;
	store_destroy(platform->store);
	event_base_free(platform->base);
	g_clear_pointer(&platform->bytes, g_bytes_unref);
	g_free(platform);
}

static void on_value(void *context, store_result_t result, const uint8_t *bytes,
		     size_t size_bytes, uint64_t index)
{
	ctl_platform_t *platform = context;

	platform->answered = true;
	platform->result = result;
	platform->index = index;
	g_clear_pointer(&platform->bytes, g_bytes_unref);
	platform->bytes = g_bytes_new(bytes, size_bytes);
}

static store_result_t wait_for_answer(ctl_platform_t *platform)
{
	while (!platform->answered)
		event_base_loop(platform->base, EVLOOP_ONCE);
	return platform->result;
}

store_result_t ctl_platform_read(ctl_platform_t *platform, config_t **config,
				 uint64_t *index)
{
	store_t *store = platform->store;
	g_autoptr(GError) error = NULL;
	const uint8_t *bytes;
	gsize size_bytes;

	*config = NULL;
	platform->answered = false;
	store->calls->get(store->self, CONFIG_KEY, 0, 0, on_value, platform);
	if (wait_for_answer(platform) != STORE_OK)
		return platform->result;
	bytes = g_bytes_get_data(platform->bytes, &size_bytes);
	*index = platform->index;
	*config = config_codec_decode(bytes, size_bytes, &error);
	if (*config)
		return STORE_OK;
	fprintf(stderr,
		"toucanctl: cannot decode the platform's value of %s: %s\n",
		CONFIG_KEY, error->message);
	return STORE_REFUSED;
}

store_result_t ctl_platform_swap(ctl_platform_t *platform,
				 const config_t *config, uint64_t index)
{
	store_t *store = platform->store;
	g_autofree char *text = config_codec_encode(config);

	platform->answered = false;
	store->calls->swap(store->self, CONFIG_KEY, (const uint8_t *)text,
			   strlen(text), index, on_value, platform);
	return wait_for_answer(platform);
}
