#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/** @return monotonic time in milliseconds; decision cores never call this. */
uint64_t clock_now_ms(void);

/** @return monotonic time in microseconds; decision cores never call this. */
uint64_t clock_now_us(void);

#endif
