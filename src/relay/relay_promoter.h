#ifndef RELAY_RELAY_PROMOTER_H
#define RELAY_RELAY_PROMOTER_H

#include <stdint.h>

#include "coordination/takeover.h"

/** A request to make a server the primary of its service. */
typedef struct {
	const char *service;
	const char *server;
	const char *holder; /**< node that holds the coordinator lease */
	uint64_t token;	    /**< fencing token; increases with each holder */
} relay_promotion_t;

/** The platform's control interface. */
typedef struct {
	void (*promote)(void *self, const relay_promotion_t *promotion,
			void (*done)(void *context, takeover_promoted_t result),
			void *context);
	void (*destroy)(void *self);
	void *self;
} relay_promoter_t;

#endif
