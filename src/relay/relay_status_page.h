#ifndef RELAY_RELAY_STATUS_PAGE_H
#define RELAY_RELAY_STATUS_PAGE_H

#include <event2/event.h>
#include <glib.h>

#include "base/metrics.h"
#include "state/endpoint.h"

/** The only error: it cannot listen. */
#define RELAY_STATUS_PAGE_ERROR relay_status_page_error_quark()
GQuark relay_status_page_error_quark(void);

/** Answers HTTP: whether the node takes callers, and its metrics. */
typedef struct relay_status_page relay_status_page_t;

/**
 * @param readiness where every path answers 200 or 503
 * @param metrics_endpoint where every path answers the metrics
 * @param update sets gauges before the metrics are read
 * @return NULL with @p error set when it cannot listen
 */
relay_status_page_t *relay_status_page_create(
	struct event_base *base, const endpoint_t *readiness,
	const endpoint_t *metrics_endpoint, const metrics_t *metrics,
	bool (*is_ready)(void *context), void (*update)(void *context),
	void *context, GError **error);
void relay_status_page_destroy(relay_status_page_t *page);

#endif
