#ifndef COORDINATION_PRIMARY_WATCH_H
#define COORDINATION_PRIMARY_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Failure detector of a primary: decides from the time of its last message and
 * from the results of probes. Plain data, initially all zero.
 */
typedef struct {
	uint64_t heard_ms;   /**< time of the primary's last message */
	uint64_t failing_ms; /**< first of the consecutive failures, or 0 */
	uint32_t refused;    /**< consecutive refused connections */
	uint32_t failures;   /**< consecutive failures of all kinds */
} primary_watch_t;

/** Unresponsive time after which the primary is probed. */
#define PRIMARY_WATCH_PROBE_AFTER_MS 300u

/** The same where one coordinator watches many primaries, at most. */
#define PRIMARY_WATCH_PROBE_AFTER_MS_MAX 2000u

/** Unresponsive time after which a primary with failed probes is lost. */
#define PRIMARY_WATCH_LOST_MS 900u

/** Records that the primary sent a message at @p heard_ms. */
void primary_watch_record_message(primary_watch_t *watch, uint64_t heard_ms);

/** Records a failed probe; @p refused if no connection could be made. */
void primary_watch_failed(primary_watch_t *watch, bool refused,
			  uint64_t now_ms);

/**
 * Load: a coordinator that watches the primaries of hundreds of services, most
 * of which send it nothing else. The time grows with their number, so that at
 * most 100 probes a second are made of up to 200 primaries.
 *
 * @param services number of services that the coordinator watches
 * @return unresponsive time after which a primary is probed
 */
uint32_t primary_watch_probe_after_ms(uint32_t services);

/**
 * @param probe_after_ms see primary_watch_probe_after_ms()
 * @return whether the primary must be probed now; one whose last probe failed
 *         is probed at once
 */
bool primary_watch_must_probe(const primary_watch_t *watch,
			      uint32_t probe_after_ms, uint64_t now_ms);

/** @return whether the primary is lost */
bool primary_watch_is_lost(const primary_watch_t *watch, uint64_t now_ms);

#endif
