#include "soak/faults.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>

#include "base/clock.h"

/* Time from the start of one fault to the start of the next. */
#define FAULT_INTERVAL_MS_MIN 150
#define FAULT_INTERVAL_MS_MAX 1500

#define FAULT_DURATION_MS_MIN 200
#define FAULT_DURATION_MS_MAX 5000
/*
 * The store is restored from older copies from this seed on; the draws of
 * earlier seeds stay as they were when they failed.
 */
#define RESTORES_SEED_MIN 1000

/* Nodes that have ended are looked for at multiples of this time. */
#define RESTART_CHECK_MS 400

/* A scheduled end of a fault. */
typedef struct {
	uint64_t at_ms;
	int32_t node;	/* node to resume or restart, or -1 */
	char *tag;	/* link to restore, or NULL */
	char *settings; /* settings that restore the link */
} undo_t;

struct faults {
	site_world_t *world;
	site_plan_t plan;
	GRand *random;
	GPtrArray *undos; /* scheduled ends of faults, undo_t */
	uint64_t next_ms; /* time of the next fault */
	uint64_t started_ms;
};

static void undo_free(gpointer data)
{
	undo_t *undo = data;

	g_free(undo->tag);
	g_free(undo->settings);
	g_free(undo);
}

/* @return a random number of [from, below) */
static uint32_t random_between(faults_t *faults, uint32_t from, uint32_t below)
{
	return (uint32_t)g_rand_int_range(faults->random, (gint32)from,
					  (gint32)below);
}

static void print_fault(const faults_t *faults, const char *what,
			const char *where, uint32_t for_ms)
{
	printf("%" PRIu64 " ms: %s %s for %u ms\n",
	       clock_now_ms() - faults->started_ms, what, where, for_ms);
	fflush(stdout);
}

static undo_t *schedule_undo(faults_t *faults, uint32_t after_ms)
{
	undo_t *undo = g_new0(undo_t, 1);

	undo->at_ms = clock_now_ms() + after_ms;
	undo->node = -1;
	g_ptr_array_add(faults->undos, undo);
	return undo;
}

static char *random_server_id(faults_t *faults)
{
	return g_strdup_printf(
		"group%u-%u", random_between(faults, 0, faults->plan.groups),
		random_between(faults, 0, SITE_SERVERS_PER_GROUP));
}

/* Sends a node a signal; resumes or restarts the node after @p for_ms. */
static void inject_node_fault(faults_t *faults, uint32_t for_ms)
{
	static const struct {
		const char *name;
		int number;
	} signals[] = {{"kill", SIGKILL},
		       {"terminate", SIGTERM},
		       {"pause", SIGSTOP},
		       {"hang up", SIGHUP}};
	const uint32_t node = random_between(faults, 0, faults->plan.nodes);
	const uint32_t kind = random_between(faults, 0, G_N_ELEMENTS(signals));
	g_autofree char *name = g_strdup_printf("node-%u", node);

	print_fault(faults, signals[kind].name, name, for_ms);
	site_world_signal(faults->world, node, signals[kind].number);
	schedule_undo(faults, for_ms)->node = (int32_t)node;
}

static void inject_server_fault(faults_t *faults, uint32_t for_ms)
{
	static const char *const kinds[] = {"crash", "silent", "deaf", "lose"};
	const char *kind =
		kinds[random_between(faults, 0, G_N_ELEMENTS(kinds))];
	g_autofree char *server = random_server_id(faults);
	/* For "lose" for_ms is the percentage of answers that are lost. */
	g_autofree char *fault = g_strdup_printf(
		"%s?server=%s&for_ms=%u", kind, server,
		g_str_equal(kind, "lose") ? random_between(faults, 0, 10) :
					    for_ms);

	print_fault(faults, kind, server, for_ms);
	site_world_inject_fault(faults->world, fault);
}

static void inject_store_fault(faults_t *faults, uint32_t for_ms)
{
	static const char *const kinds[] = {
		"store-down", "store-silent", "compact",       "config",
		"store-copy", "store-copy",   "store-restore", "store-restore"};
	const uint32_t count = faults->plan.seed < RESTORES_SEED_MIN ?
				       G_N_ELEMENTS(kinds) / 2 :
				       G_N_ELEMENTS(kinds);
	const char *kind = kinds[random_between(faults, 0, count)];
	g_autofree char *fault = g_strdup_printf("%s?for_ms=%u", kind, for_ms);

	print_fault(faults, kind, "store", for_ms);
	site_world_inject_fault(faults->world, fault);
}

static void inject_link_fault(faults_t *faults, uint32_t for_ms)
{
	static const struct {
		const char *set;
		const char *unset;
	} kinds[] = {{"cut=1", "cut=0"},
		     {"mute=1", "mute=0"},
		     {"delay_ms=60&jitter_ms=40", "delay_ms=0&jitter_ms=0"},
		     {"cut=1&keep=1", "cut=0&keep=1"}};
	const uint32_t kind = random_between(faults, 0, G_N_ELEMENTS(kinds));
	char *tag = random_between(faults, 0, 2) ?
			    random_server_id(faults) :
			    g_strdup_printf("store-%u",
					    random_between(faults, 0,
							   faults->plan.nodes));
	undo_t *undo = schedule_undo(faults, for_ms);

	print_fault(faults, kinds[kind].set, tag, for_ms);
	site_world_set_link(faults->world, tag, kinds[kind].set);
	undo->tag = tag;
	undo->settings = g_strdup(kinds[kind].unset);
}

static void inject_random_fault(faults_t *faults)
{
	const uint32_t for_ms = random_between(faults, FAULT_DURATION_MS_MIN,
					       FAULT_DURATION_MS_MAX);

	switch (random_between(faults, 0, 4)) {
	case 0:
		inject_node_fault(faults, for_ms);
		break;
	case 1:
		inject_server_fault(faults, for_ms);
		break;
	case 2:
		inject_store_fault(faults, for_ms);
		break;
	default:
		inject_link_fault(faults, for_ms);
	}
}

/*
 * Resumes a paused node, or starts a node whose process has ended.
 *
 * @return whether the node runs
 */
static bool resume_or_restart(faults_t *faults, uint32_t node)
{
	site_world_signal(faults->world, node, SIGCONT);
	return site_world_is_running(faults->world, node) ||
	       site_world_restart(faults->world, node);
}

static void apply_undo(faults_t *faults, const undo_t *undo)
{
	if (undo->node >= 0)
		resume_or_restart(faults, (uint32_t)undo->node);
	if (undo->tag)
		site_world_set_link(faults->world, undo->tag, undo->settings);
}

/*
 * Restarts nodes whose process has ended, each with a probability of one in
 * four per check. This covers a terminated node that was still shutting down
 * when the fault's end was due.
 */
static void restart_stopped(faults_t *faults, uint64_t now_ms)
{
	if (now_ms % RESTART_CHECK_MS)
		return;
	for (uint32_t i = 0; i < faults->plan.nodes; i++)
		if (!site_world_is_running(faults->world, i) &&
		    !random_between(faults, 0, 4))
			site_world_restart(faults->world, i);
}

void faults_step(faults_t *faults, uint64_t now_ms)
{
	for (guint i = faults->undos->len; i > 0; i--) {
		const undo_t *due = faults->undos->pdata[i - 1];

		if (now_ms < due->at_ms)
			continue;
		apply_undo(faults, due);
		g_ptr_array_remove_index_fast(faults->undos, i - 1);
	}
	restart_stopped(faults, now_ms);
	if (now_ms < faults->next_ms)
		return;
	faults->next_ms = now_ms + random_between(faults, FAULT_INTERVAL_MS_MIN,
						  FAULT_INTERVAL_MS_MAX);
	inject_random_fault(faults);
}

void faults_undo_all(faults_t *faults)
{
	g_ptr_array_set_size(faults->undos, 0);
	site_world_set_link(faults->world, "*",
			    "cut=0&mute=0&delay_ms=0&jitter_ms=0");
	for (uint32_t i = 0; i < faults->plan.groups * SITE_SERVERS_PER_GROUP;
	     i++) {
		g_autofree char *fault = g_strdup_printf(
			"lose?server=group%u-%u&for_ms=0",
			i / SITE_SERVERS_PER_GROUP, i % SITE_SERVERS_PER_GROUP);

		site_world_inject_fault(faults->world, fault);
	}
	for (uint32_t i = 0; i < faults->plan.nodes; i++)
		resume_or_restart(faults, i);
}

faults_t *faults_create(site_world_t *world, const site_plan_t *plan)
{
	faults_t *faults = g_new0(faults_t, 1);

	faults->world = world;
	faults->plan = *plan;
	faults->random = g_rand_new_with_seed(plan->seed);
	faults->undos = g_ptr_array_new_with_free_func(undo_free);
	faults->started_ms = clock_now_ms();
	if (plan->seed >= RESTORES_SEED_MIN)
		site_world_inject_fault(world, "store-copy");
	return faults;
}

void faults_destroy(faults_t *faults)
{
	g_ptr_array_unref(faults->undos);
	g_rand_free(faults->random);
	g_free(faults);
}
