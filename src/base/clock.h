#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

/** @return monotonic time in milliseconds; decision cores never call this. */
uint64_t clock_now_ms(void);

/** @return monotonic time in microseconds; decision cores never call this. */
uint64_t clock_now_us(void);

/**
 * @return milliseconds since boot, counting time for which the machine was
 *         suspended; for leases and ages
 */
uint64_t clock_boot_ms(void);

/** @return a delay as libevent and the kernel take it. */
struct timeval clock_timeval(uint64_t delay_ms);

#endif
