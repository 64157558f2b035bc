#include "state/log_point.h"

int log_point_compare(log_point_t a, log_point_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.position != b.position)
		return a.position < b.position ? -1 : 1;
	return 0;
}

bool log_point_covers(log_point_t held, log_point_t wanted)
{
	return log_point_compare(held, wanted) >= 0;
}

log_point_t log_point_max(log_point_t a, log_point_t b)
{
	return log_point_compare(a, b) >= 0 ? a : b;
}
