#include "coordination/primary_survey.h"

#include <string.h>

#include <glib.h>

/* Polls per step of a large site, and steps over which more are spread. */
#define POLLS_MIN 8u
#define POLL_STEPS 16u

/* Minimum number of servers that must agree, if the service has so many. */
#define SERVERS_MIN 2u

/* The answers, counted. */
typedef struct {
	uint32_t answered;
	uint64_t term; /* highest term reported */
	uint32_t primaries;
	const char *primary; /* the last one of that term, or NULL */
	bool same_term;	     /* all report the highest term */
	bool fenced;	     /* one is fenced by a higher term */
} count_t;

static count_t count_answers(const survey_server_t *servers, uint32_t count)
{
	count_t counted = {.same_term = true};

	for (uint32_t i = 0; i < count; i++)
		if (servers[i].status.answered &&
		    servers[i].status.term > counted.term)
			counted.term = servers[i].status.term;
	for (uint32_t i = 0; i < count; i++) {
		const takeover_status_t *status = &servers[i].status;

		if (!status->answered)
			continue;
		counted.answered++;
		counted.same_term &= status->term == counted.term;
		counted.fenced |= status->fence > counted.term;
		if (status->role != SERVER_PRIMARY ||
		    status->term != counted.term)
			continue;
		counted.primaries++;
		counted.primary = servers[i].id;
	}
	return counted;
}

/* Whether the answers contradict neither each other nor what was known. */
static bool is_consistent(const survey_known_t *known, const count_t *counted,
			  uint32_t count)
{
	if (counted->answered < MIN(SERVERS_MIN, count) ||
	    counted->primaries != 1 || !counted->primary ||
	    !counted->same_term || counted->fenced)
		return false;
	if (counted->term != known->term)
		return counted->term > known->term;
	return !*known->primary || !strcmp(counted->primary, known->primary);
}

static survey_result_t evaluate(const survey_known_t *known,
				const count_t *counted, uint32_t count,
				uint64_t waited_ms)
{
	const bool consistent = is_consistent(known, counted, count);

	if (consistent && counted->answered == count && !known->takeover)
		return SURVEY_AGREED;
	/* A takeover fences above the highest term, which must be known. */
	if (waited_ms < SURVEY_WAIT_MS)
		return SURVEY_WAITING;
	/* A server that does not answer may have been promoted last. */
	return consistent && !known->takeover && counted->term == known->term ?
		       SURVEY_AGREED :
		       SURVEY_UNCLEAR;
}

survey_t primary_survey(const survey_known_t *known,
			const survey_server_t *servers, uint32_t count,
			uint64_t waited_ms)
{
	const count_t counted = count_answers(servers, count);
	const bool newer = counted.term > known->term;
	const char *found = counted.primary ? counted.primary : "";

	return (survey_t){
		.result = evaluate(known, &counted, count, waited_ms),
		.term = newer ? counted.term : known->term,
		.primary = newer ? found : known->primary,
	};
}

uint32_t primary_survey_polls_max(uint32_t services)
{
	if (services <= PRIMARY_SURVEY_POLLS_MIN)
		return services;
	return MAX(services / POLL_STEPS, POLLS_MIN);
}
