#include "soak/caller.h"

#include <string.h>

#include "base/clock.h"
#include "world/line_client.h"

#define THINK_TIME_MS_MAX 40
/* Maximum age of reads in the "browse" databases. */
#define BROWSE_MAX_AGE_MS 1500
/*
 * All processes use the clock of one machine, so only rounding to whole
 * milliseconds has to be allowed for.
 */
#define AGE_SLACK_MS 5

struct caller {
	site_world_t *world;
	site_plan_t plan;
	uint32_t group; /* index of the group that the caller uses */
	GRand *random;
	history_t *history;
	GThread *thread;
	gint stopping;		  /* atomic; set when the thread shall end */
	gint acknowledged_writes; /* atomic; number of acknowledged writes */
	line_client_t *client;	  /* current session, or NULL */
	const char *kind;	  /* of the database: strict, own or browse */
};

static uint32_t random_below(caller_t *caller, uint32_t below)
{
	return (uint32_t)g_rand_int_range(caller->random, 0, (gint32)below);
}

static void close_client(caller_t *caller)
{
	g_clear_pointer(&caller->client, line_client_close);
}

/*
 * Opens a session at a random node if there is none.
 *
 * @return whether there is a session
 */
static bool ensure_client(caller_t *caller)
{
	static const char *const kinds[] = {"strict", "own", "browse"};
	g_autofree char *database = NULL;

	if (caller->client)
		return true;
	caller->kind = kinds[random_below(caller, G_N_ELEMENTS(kinds))];
	database = g_strdup_printf("%s-%u", caller->kind, caller->group);
	caller->client = line_client_open(
		site_world_callers_port(
			caller->world,
			random_below(caller, caller->plan.nodes)),
		database);
	return caller->client;
}

static write_state_t write_state_from_result(const line_client_t *client,
					     line_result_t result)
{
	if (result == LINE_DONE)
		return WRITE_ACKNOWLEDGED;
	if (result == LINE_NO_EFFECT)
		return WRITE_NO_EFFECT;
	/* A malformed statement is not executed. */
	if (result == LINE_ERROR &&
	    g_str_has_prefix(line_client_error(client), "MALFORMED"))
		return WRITE_NO_EFFECT;
	return WRITE_IN_DOUBT;
}

static void record_write_result(caller_t *caller, line_result_t result)
{
	const write_state_t state =
		write_state_from_result(caller->client, result);

	history_record_write_result(caller->history, state, clock_boot_ms());
	if (state == WRITE_ACKNOWLEDGED)
		g_atomic_int_inc(&caller->acknowledged_writes);
	if (result == LINE_NO_ANSWER)
		close_client(caller);
}

static void write_single_statement(caller_t *caller)
{
	g_autofree char *text =
		g_strdup_printf("WRITE %s %s", history_item(caller->history),
				history_next_data(caller->history));

	record_write_result(caller,
			    line_client_run(caller->client, text, NULL));
}

/*
 * Writes in an explicit transaction. If COMMIT was sent, the write's outcome
 * is that of COMMIT. One transaction in eight is rolled back instead.
 */
static void write_in_transaction(caller_t *caller)
{
	g_autofree char *text =
		g_strdup_printf("WRITE %s %s", history_item(caller->history),
				history_next_data(caller->history));
	line_result_t result = line_client_run(caller->client, "BEGIN", NULL);

	if (result == LINE_DONE)
		result = line_client_run(caller->client, text, NULL);
	if (result == LINE_DONE && !random_below(caller, 8)) {
		result = line_client_run(caller->client, "ROLLBACK", NULL);
		history_record_write_result(caller->history, WRITE_NO_EFFECT,
					    clock_boot_ms());
		if (result != LINE_DONE)
			close_client(caller);
		return;
	}
	if (result == LINE_DONE)
		result = line_client_run(caller->client, "COMMIT", NULL);
	else if (result != LINE_NO_ANSWER)
		line_client_run(caller->client, "ROLLBACK", NULL);
	record_write_result(caller, result);
	if (caller->client && line_client_status(caller->client) != 'I')
		close_client(caller);
}

static void read_once(caller_t *caller)
{
	const uint64_t started_ms = clock_boot_ms();
	g_autofree char *text =
		g_strdup_printf("READ %s", history_item(caller->history));
	g_autofree char *row = NULL;
	const line_result_t result =
		line_client_run(caller->client, text, &row);

	if (result == LINE_DONE && row)
		history_record_read(caller->history, row, started_ms,
				    strcmp(caller->kind, "browse") ?
					    0 :
					    BROWSE_MAX_AGE_MS + AGE_SLACK_MS);
	else if (result == LINE_NO_ANSWER)
		close_client(caller);
}

/*
 * A session of an "own" database must see its own writes, and other writes
 * only once they are older than the maximum age. A new session does not know
 * what the previous one wrote. The history check does not distinguish
 * sessions, so the caller reads such a database only after a write of the
 * current session was acknowledged.
 *
 * @param acknowledged writes of the current session
 */
static bool can_check_read(const caller_t *caller, uint32_t acknowledged)
{
	return strcmp(caller->kind, "own") || acknowledged;
}

static gpointer run(gpointer data)
{
	caller_t *caller = data;
	uint32_t acknowledged_at_open = 0;
	const line_client_t *previous_client = NULL;

	while (!g_atomic_int_get(&caller->stopping)) {
		if (!ensure_client(caller)) {
			g_usleep(THINK_TIME_MS_MAX * 1000);
			continue;
		}
		if (previous_client != caller->client)
			acknowledged_at_open =
				caller_acknowledged_writes(caller);
		previous_client = caller->client;
		if (random_below(caller, 3) &&
		    can_check_read(caller, caller_acknowledged_writes(caller) -
						   acknowledged_at_open)) {
			read_once(caller);
		} else if (random_below(caller, 3)) {
			write_single_statement(caller);
		} else {
			write_in_transaction(caller);
		}
		if (!random_below(caller, 40))
			close_client(caller);
		if (!caller->client)
			previous_client = NULL;
		g_usleep(random_below(caller, THINK_TIME_MS_MAX) * 1000);
	}
	return NULL;
}

caller_t *caller_start(site_world_t *world, const site_plan_t *plan,
		       uint32_t number)
{
	caller_t *caller = g_new0(caller_t, 1);
	g_autofree char *item = g_strdup_printf("i%u", number);

	caller->world = world;
	caller->plan = *plan;
	caller->group = number % plan->groups;
	caller->random = g_rand_new_with_seed(plan->seed * 1000 + number);
	caller->history = history_create(item);
	caller->thread = g_thread_new("caller", run, caller);
	return caller;
}

void caller_stop(caller_t *caller)
{
	g_atomic_int_set(&caller->stopping, 1);
	if (caller->thread)
		g_thread_join(caller->thread);
	caller->thread = NULL;
	close_client(caller);
}

void caller_destroy(caller_t *caller)
{
	caller_stop(caller);
	history_destroy(caller->history);
	g_rand_free(caller->random);
	g_free(caller);
}

const history_t *caller_history(const caller_t *caller)
{
	return caller->history;
}

uint32_t caller_acknowledged_writes(const caller_t *caller)
{
	return (uint32_t)g_atomic_int_get(&caller->acknowledged_writes);
}
