#include "base/log_limit.h"

#include <glib.h>

typedef struct {
	uint64_t window_start_ms;
	uint32_t lines;	   /* lines written in the window */
	uint32_t left_out; /* lines omitted since the last written line */
} event_count_t;

struct log_limit {
	GHashTable *events;   /* char * -> event_count_t * */
	event_count_t shared; /* counter of events beyond LOG_LIMIT_EVENTS */
};

log_limit_t *log_limit_create(void)
{
	log_limit_t *limit = g_new0(log_limit_t, 1);

	limit->events =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limit;
}

void log_limit_destroy(log_limit_t *limit)
{
	if (!limit)
		return;
	g_hash_table_destroy(limit->events);
	g_free(limit);
}

static event_count_t *find_count(log_limit_t *limit, const char *event)
{
	event_count_t *count = g_hash_table_lookup(limit->events, event);

	if (count)
		return count;
	if (g_hash_table_size(limit->events) >= LOG_LIMIT_EVENTS)
		return &limit->shared;
	count = g_new0(event_count_t, 1);
	g_hash_table_insert(limit->events, g_strdup(event), count);
	return count;
}

bool log_limit_admit(log_limit_t *limit, const char *event, uint64_t now_ms,
		     uint32_t *left_out)
{
	event_count_t *count = find_count(limit, event);

	if (now_ms - count->window_start_ms >= LOG_LIMIT_WINDOW_MS) {
		count->window_start_ms = now_ms;
		count->lines = 0;
	}
	if (count->lines >= LOG_LIMIT_LINES) {
		count->left_out++;
		return false;
	}
	count->lines++;
	*left_out = count->left_out;
	count->left_out = 0;
	return true;
}
