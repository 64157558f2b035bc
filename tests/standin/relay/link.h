#ifndef STANDIN_RELAY_LINK_H
#define STANDIN_RELAY_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "standin/common/http.h"

/** What a link does to what passes. */
typedef struct {
	uint32_t delay_ms;	  /**< one way */
	uint32_t jitter_ms;	  /**< most that is added at random */
	double loss_percent;	  /**< of segments; each stalls its direction */
	bool cut;		  /**< nothing passes */
	bool mute;		  /**< nothing passes back to who connected */
	uint64_t frozen_until_ms; /**< nothing passes till then */
} link_settings_t;

/** What a link has seen. */
typedef struct {
	uint64_t flows;
	uint64_t bytes;
	uint64_t segments_lost;
} link_counts_t;

/** One address that is forwarded to another. */
typedef struct {
	struct event_base *base;
	char *tag;
	endpoint_t target;
	link_settings_t settings;
	link_counts_t counts;
	GPtrArray *flows;
	uint64_t *random_state;
} link_t;

/**
 * Starts to forward.
 *
 * @param random_state shared by all links, so that one seed fixes all
 * @return the link, or NULL when the port is taken
 */
link_t *link_create(struct event_base *base, const char *tag,
		    const endpoint_t *listen, const endpoint_t *target,
		    uint64_t *random_state);

/** Takes new settings; flows that lived through a cut are reset. */
void link_set(link_t *link, const link_settings_t *settings, bool keep_flows);

#endif
