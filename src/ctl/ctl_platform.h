#ifndef CTL_CTL_PLATFORM_H
#define CTL_CTL_PLATFORM_H

#include <event2/event.h>

#include "ctl/ctl.h"
#include "store/store.h"
#include "state/config.h"

/** Blocking client of the platform's key-value service; one call at a time. */
typedef struct ctl_platform ctl_platform_t;

/** Creates a client of the service at @p endpoint. */
ctl_platform_t *ctl_platform_create(const ctl_endpoint_t *endpoint);

/** Frees the client; NULL is allowed. */
void ctl_platform_destroy(ctl_platform_t *platform);

/**
 * Reads the configuration in force.
 *
 * @param config receives the configuration, or NULL; free it with
 *        config_delete()
 * @param index  receives the key's modification index if the key exists
 * @return STORE_REFUSED also for a value that cannot be decoded, after
 *         printing the reason
 */
store_result_t ctl_platform_read(ctl_platform_t *platform, config_t **config,
				 uint64_t *index);

/** Replaces the configuration if the key's index is still @p index. */
store_result_t ctl_platform_swap(ctl_platform_t *platform,
				 const config_t *config, uint64_t index);

#endif
