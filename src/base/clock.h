#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

/**
 * @return monotonic time in milliseconds. Code in coordination/ receives the
 *         time as a parameter instead, so that tests control it.
 */
uint64_t clock_now_ms(void);

/** @return monotonic time in microseconds; see clock_now_ms(). */
uint64_t clock_now_us(void);

/**
 * @return milliseconds since boot, including time for which the machine was
 *         suspended; used for leases and ages
 */
uint64_t clock_boot_ms(void);

/** Converts milliseconds to a struct timeval. */
struct timeval clock_timeval(uint64_t delay_ms);

#endif
