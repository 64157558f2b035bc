#ifndef STANDIN_RELAY_LINK_H
#define STANDIN_RELAY_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "standin/common/http.h"

/** Network conditions that a link emulates. */
typedef struct {
	uint32_t delay_ms;   /**< one-way delay */
	uint32_t jitter_ms;  /**< maximum random addition to the delay */
	double loss_percent; /**< of segments; each loss delays its direction */
	bool cut;	     /**< no byte is forwarded */
	bool mute;	     /**< no byte is forwarded from the target */
	uint64_t frozen_until_ms; /**< no byte is forwarded until then */
} link_settings_t;

/** Counters of a link. */
typedef struct {
	uint64_t flows; /**< connections accepted */
	uint64_t bytes; /**< bytes read, in both directions */
	uint64_t segments_lost;
} link_counts_t;

/** A listening address whose connections are forwarded to a target. */
typedef struct {
	struct event_base *base;
	char *tag; /**< name in the control URLs; links may share it */
	endpoint_t target;
	link_settings_t settings;
	link_counts_t counts;
	GPtrArray *flows;	/**< of flow_t, the open connections */
	uint64_t *random_state; /**< shared by all links */
} link_t;

/**
 * Starts to listen and to forward connections.
 *
 * @param random_state generator shared by all links, so that one seed
 *                     determines the jitter and loss of all of them
 * @return the link, or NULL if it cannot listen
 */
link_t *link_create(struct event_base *base, const char *tag,
		    const endpoint_t *listen, const endpoint_t *target,
		    uint64_t *random_state);

/**
 * Applies new settings.
 *
 * @param keep_flows whether connections that were open during a cut go on
 *                   when the cut ends; otherwise they are reset
 */
void link_set(link_t *link, const link_settings_t *settings, bool keep_flows);

#endif
