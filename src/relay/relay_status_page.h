#ifndef RELAY_RELAY_STATUS_PAGE_H
#define RELAY_RELAY_STATUS_PAGE_H

#include <event2/event.h>
#include <glib.h>

#include "base/metrics.h"
#include "state/endpoint.h"

/** Error domain; the only error is a failure to listen. */
#define RELAY_STATUS_PAGE_ERROR relay_status_page_error_quark()
GQuark relay_status_page_error_quark(void);

/** HTTP endpoints for the readiness check and the metrics of a node. */
typedef struct relay_status_page relay_status_page_t;

/**
 * @param readiness endpoint where every path returns 200 (ready) or 503
 * @param metrics_endpoint endpoint where every path returns the metrics
 * @param update called before the metrics are rendered, to set gauges
 * @return the page, or NULL with @p error set if it cannot listen
 */
relay_status_page_t *relay_status_page_create(
	struct event_base *base, const endpoint_t *readiness,
	const endpoint_t *metrics_endpoint, const metrics_t *metrics,
	bool (*is_ready)(void *context), void (*update)(void *context),
	void *context, GError **error);

/**
 * Sets what answers GET /explain?database=NAME[&write=1] on the metrics
 * endpoint.
 *
 * @param explain returns a text to be freed with g_free(), or NULL if the
 *        database is unknown
 */
void relay_status_page_set_explain(relay_status_page_t *page,
				   char *(*explain)(void *context,
						    const char *database,
						    bool writes));

void relay_status_page_destroy(relay_status_page_t *page);

#endif
