#include "state/store_revision.h"

#define NUMBER_MASK ((INT64_C(1) << STORE_REVISION_NUMBER_BITS) - 1)

int64_t store_revision_make(int64_t era, int64_t number)
{
	if (!number)
		return 0;
	return (era << STORE_REVISION_NUMBER_BITS) | (number & NUMBER_MASK);
}

int64_t store_revision_era(int64_t revision)
{
	return revision >> STORE_REVISION_NUMBER_BITS;
}

int64_t store_revision_number(int64_t revision)
{
	return revision & NUMBER_MASK;
}
