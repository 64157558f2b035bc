#include "soak/history.h"

#include <inttypes.h>
#include <string.h>

typedef struct {
	char *data;
	write_state_t state;
	uint64_t ended_ms;
} write_t;

typedef struct {
	char *data;
	uint64_t started_ms;
	uint64_t age_ms;
	guint writes; /* number of writes that ended before the read */
} read_t;

struct history {
	char *item;
	GPtrArray *writes; /* write_t */
	GPtrArray *reads;  /* read_t */
};

static void write_free(gpointer data)
{
	write_t *write = data;

	g_free(write->data);
	g_free(write);
}

static void read_free(gpointer data)
{
	read_t *read = data;

	g_free(read->data);
	g_free(read);
}

history_t *history_create(const char *item)
{
	history_t *history = g_new0(history_t, 1);

	history->item = g_strdup(item);
	history->writes = g_ptr_array_new_with_free_func(write_free);
	history->reads = g_ptr_array_new_with_free_func(read_free);
	return history;
}

void history_destroy(history_t *history)
{
	g_ptr_array_unref(history->writes);
	g_ptr_array_unref(history->reads);
	g_free(history->item);
	g_free(history);
}

const char *history_item(const history_t *history)
{
	return history->item;
}

const char *history_next_data(history_t *history)
{
	write_t *write = g_new0(write_t, 1);

	write->data =
		g_strdup_printf("%s.%u", history->item, history->writes->len);
	write->state = WRITE_IN_DOUBT;
	g_ptr_array_add(history->writes, write);
	return write->data;
}

void history_record_write_result(history_t *history, write_state_t state,
				 uint64_t now_ms)
{
	write_t *write = history->writes->pdata[history->writes->len - 1];

	write->state = state;
	write->ended_ms = now_ms;
}

void history_record_read(history_t *history, const char *data,
			 uint64_t started_ms, uint64_t age_ms)
{
	read_t *read = g_new0(read_t, 1);

	read->data = g_strdup(data);
	read->started_ms = started_ms;
	read->age_ms = age_ms;
	read->writes = history->writes->len;
	g_ptr_array_add(history->reads, read);
}

uint32_t history_acknowledged(const history_t *history)
{
	uint32_t count = 0;

	for (guint i = 0; i < history->writes->len; i++) {
		const write_t *write = history->writes->pdata[i];

		count += write->state == WRITE_ACKNOWLEDGED;
	}
	return count;
}

/* @return whether a set of the report (kept, rolled_back) holds the data */
static bool report_contains(json_t *report, const char *set, const char *data)
{
	return json_object_get(json_object_get(report, set), data);
}

static void check_writes(const history_t *history, json_t *report,
			 GPtrArray *problems)
{
	for (guint i = 0; i < history->writes->len; i++) {
		const write_t *write = history->writes->pdata[i];
		const bool found =
			report_contains(report, "kept", write->data) ||
			report_contains(report, "rolled_back", write->data);

		if (write->state == WRITE_ACKNOWLEDGED && !found)
			g_ptr_array_add(
				problems,
				g_strdup_printf("acknowledged write lost: %s",
						write->data));
		if (write->state == WRITE_NO_EFFECT && found)
			g_ptr_array_add(
				problems,
				g_strdup_printf(
					"write that failed without effect was kept: %s",
					write->data));
	}
}

/* @return the index of the write of the data, or -1 */
static gint index_of(const history_t *history, const char *data)
{
	for (guint i = 0; i < history->writes->len; i++) {
		const write_t *write = history->writes->pdata[i];

		if (!strcmp(write->data, data))
			return (gint)i;
	}
	return -1;
}

/*
 * Finds the newest acknowledged write that the read had to see.
 *
 * @return its index, or -1
 */
static gint newest_required_write(const history_t *history, const read_t *read,
				  json_t *report)
{
	for (guint i = read->writes; i > 0; i--) {
		const write_t *write = history->writes->pdata[i - 1];

		if (write->state == WRITE_ACKNOWLEDGED &&
		    write->ended_ms + read->age_ms < read->started_ms &&
		    !report_contains(report, "rolled_back", write->data))
			return (gint)i - 1;
	}
	return -1;
}

static void check_read(const history_t *history, const read_t *read,
		       json_t *report, GPtrArray *problems)
{
	const gint needed = newest_required_write(history, read, report);
	const gint seen = index_of(history, read->data);
	const write_t *write = seen < 0 ? NULL : history->writes->pdata[seen];

	if (write && write->state == WRITE_NO_EFFECT)
		g_ptr_array_add(
			problems,
			g_strdup_printf(
				"write that failed without effect was read: %s",
				read->data));
	/* A write in doubt may take effect at any time. */
	if (write && write->state == WRITE_IN_DOUBT)
		return;
	if (seen < needed)
		g_ptr_array_add(problems,
				g_strdup_printf("stale read: item %s read %s, "
						"required write %d, "
						"sent at %" PRIu64 " ms",
						history->item, read->data,
						needed, read->started_ms));
}

void history_check(const history_t *history, json_t *report,
		   GPtrArray *problems)
{
	check_writes(history, report, problems);
	for (guint i = 0; i < history->reads->len; i++)
		check_read(history, history->reads->pdata[i], report, problems);
}
