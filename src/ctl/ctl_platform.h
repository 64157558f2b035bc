#ifndef CTL_CTL_PLATFORM_H
#define CTL_CTL_PLATFORM_H

#include <event2/event.h>

#include "ctl/ctl.h"
#include "store/store.h"
#include "state/config.h"

/** The platform, asked one thing after the other. */
typedef struct ctl_platform ctl_platform_t;

ctl_platform_t *ctl_platform_create(const ctl_endpoint_t *endpoint);
void ctl_platform_destroy(ctl_platform_t *platform);

/**
 * Reads the configuration in force.
 *
 * @param config receives it, or NULL; to be freed with config_delete()
 * @param index  receives the key's index
 * @return STORE_REFUSED, after printing why, when it cannot be read
 */
store_result_t ctl_platform_read(ctl_platform_t *platform, config_t **config,
				 uint64_t *index);

/** Swaps the configuration in force. */
store_result_t ctl_platform_swap(ctl_platform_t *platform,
				 const config_t *config, uint64_t index);

#endif
