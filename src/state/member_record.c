#include "state/member_record.h"

#include <string.h>

#include <xxhash.h>

bool member_record_supersedes(const member_record_t *fresh,
			      const member_record_t *known)
{
	if (fresh->member.incarnation != known->member.incarnation)
		return fresh->member.incarnation > known->member.incarnation;
	if (fresh->version != known->version)
		return fresh->version > known->version;
	return fresh->member.state > known->member.state;
}

uint64_t member_record_digest(const member_record_t *record)
{
	const uint64_t parts[] = {
		XXH3_64bits(record->member.name, strlen(record->member.name)),
		record->member.incarnation,
		record->version,
	};

	return XXH3_64bits(parts, sizeof(parts));
}
