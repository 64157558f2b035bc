#include "base/clock.h"

#include <time.h>

uint64_t clock_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t clock_now_ms(void)
{
	return clock_now_us() / 1000;
}

uint64_t clock_boot_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

struct timeval clock_timeval(uint64_t delay_ms)
{
	return (struct timeval){
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000 * 1000),
	};
}
