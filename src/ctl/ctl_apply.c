#include "ctl/ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "coordination/config_apply.h"
#include "ctl/ctl_diff.h"
#include "ctl/ctl_files.h"
#include "ctl/ctl_platform.h"
#include "state/config_diff.h"

#define TIMEOUT_S_DEFAULT 30
#define TIMEOUT_S_MAX 3600
#define CHANGE_ID_LENGTH_MAX 64

/* Options of the command line. */
typedef struct {
	ctl_endpoint_t platform;
	char *change_id;
	uint64_t expect_revision; /* 0 if not given */
	uint64_t above_revision;  /* 0 if not given */
	uint32_t timeout_s;
	bool json;
} apply_options_t;

/* State of one apply. */
typedef struct {
	const apply_options_t *options;
	ctl_platform_t *platform;
	config_apply_t *apply;
	config_t *wanted;  /* configuration of the files */
	config_t *current; /* configuration in force when last read, or NULL */
	bool diff_printed; /* the differences were printed */
} apply_run_t;

static config_apply_step_t read_current(apply_run_t *run)
{
	store_result_t result;
	uint64_t index = 0;
	bool same_content = false;

	g_usleep((gulong)config_apply_pause_ms(run->apply) * 1000);
	config_delete(run->current);
	result = ctl_platform_read(run->platform, &run->current, &index);
	if (run->current)
		same_content =
			!config_diff(run->current, run->wanted, NULL, NULL);
	if (!run->diff_printed && !run->options->json &&
	    (result == STORE_OK || result == STORE_ABSENT)) {
		ctl_diff_print(run->current, run->wanted, false);
		run->diff_printed = true;
	}
	return config_apply_read(run->apply, result, run->current, same_content,
				 index, clock_now_ms());
}

static config_apply_step_t swap(apply_run_t *run)
{
	store_result_t result;

	config_apply_stamp(run->wanted, run->current,
			   config_apply_revision(run->apply),
			   run->options->change_id);
	result = ctl_platform_swap(run->platform, run->wanted,
				   config_apply_index(run->apply));
	return config_apply_swapped(run->apply, result, clock_now_ms());
}

/* Reads the configuration in force again, to report the winning change. */
static void read_current_again(apply_run_t *run)
{
	uint64_t index = 0;

	config_delete(run->current);
	ctl_platform_read(run->platform, &run->current, &index);
}

static void print_json(const apply_run_t *run, config_apply_outcome_t outcome)
{
	const config_t *current = run->current;
	json_t *json =
		json_pack("{s:s, s:s, s:I}", "outcome",
			  config_apply_outcome_name(outcome), "change_id",
			  run->options->change_id, "revision",
			  (json_int_t)config_apply_revision(run->apply));
	char *text;

	if (outcome == CONFIG_APPLY_CONFLICT && current)
		json_object_set_new(json, "in_force",
				    json_pack("{s:I, s:s}", "revision",
					      (json_int_t)current->revision,
					      "change_id", current->change_id));
	text = json_dumps(json, JSON_COMPACT);
	puts(text);
	free(text);
	json_decref(json);
}

static void print_conflict(const apply_run_t *run)
{
	const config_t *current = run->current;

	if (current)
		printf("conflict: revision %" PRIu64 " of change %s is in "
		       "force; yours is not.\nReview the differences with "
		       "`toucanctl diff`, then apply again with "
		       "--expect-revision=%" PRIu64 ".\n",
		       current->revision, current->change_id,
		       current->revision);
	else
		puts("conflict: no configuration is in force, and yours is "
		     "not.");
}

static void print_text(const apply_run_t *run, config_apply_outcome_t outcome)
{
	const uint64_t revision = config_apply_revision(run->apply);
	const char *change_id = run->options->change_id;

	switch (outcome) {
	case CONFIG_APPLY_ACCEPTED:
		printf("accepted: revision %" PRIu64 ", change %s\n", revision,
		       change_id);
		if (run->current && run->current->revision > revision)
			printf("Revision %" PRIu64 " of change %s has replaced "
			       "it since.\n",
			       run->current->revision, run->current->change_id);
		return;
	case CONFIG_APPLY_UNCHANGED:
		printf("unchanged: revision %" PRIu64 " already has this "
		       "configuration\n",
		       revision);
		return;
	case CONFIG_APPLY_CONFLICT:
		print_conflict(run);
		return;
	case CONFIG_APPLY_REFUSED:
		puts("refused: the platform rejected the change; it is not in "
		     "force.");
		return;
	case CONFIG_APPLY_UNREACHABLE:
		puts("unreachable: no answer from the platform; the change is "
		     "not in force.");
		return;
	case CONFIG_APPLY_UNKNOWN:
		printf("unknown: the platform's answer was lost; the change "
		       "may be in force.\nRepeat the command with "
		       "--change-id=%s: a change is applied at most once.\n",
		       change_id);
		return;
	}
}

static ctl_exit_t exit_code(config_apply_outcome_t outcome)
{
	static const ctl_exit_t codes[] = {
		[CONFIG_APPLY_ACCEPTED] = CTL_DONE,
		[CONFIG_APPLY_UNCHANGED] = CTL_DONE,
		[CONFIG_APPLY_CONFLICT] = CTL_CONFLICT,
		[CONFIG_APPLY_REFUSED] = CTL_REFUSED,
		[CONFIG_APPLY_UNREACHABLE] = CTL_UNREACHABLE,
		[CONFIG_APPLY_UNKNOWN] = CTL_UNKNOWN,
	};

	return codes[outcome];
}

static ctl_exit_t run_steps(apply_run_t *run)
{
	config_apply_step_t step = config_apply_begin(run->apply);
	config_apply_outcome_t outcome;

	while (step != CONFIG_APPLY_END)
		step = step == CONFIG_APPLY_READ ? read_current(run) :
						   swap(run);
	outcome = config_apply_outcome(run->apply);
	if (outcome == CONFIG_APPLY_CONFLICT)
		read_current_again(run);
	if (run->options->json)
		print_json(run, outcome);
	else
		print_text(run, outcome);
	return exit_code(outcome);
}

static ctl_exit_t apply(const apply_options_t *options,
			const ctl_files_t *files)
{
	apply_run_t run = {.options = options, .wanted = ctl_files_load(files)};
	ctl_exit_t code;

	if (!run.wanted)
		return CTL_INVALID_FILES;
	run.platform = ctl_platform_create(&options->platform);
	run.apply = config_apply_create(
		options->change_id, options->expect_revision,
		options->above_revision,
		clock_now_ms() + (uint64_t)options->timeout_s * 1000);
	code = run_steps(&run);
	config_apply_destroy(run.apply);
	ctl_platform_destroy(run.platform);
	config_delete(run.current);
	config_delete(run.wanted);
	return code;
}

static bool is_change_id(const char *text)
{
	const size_t length = strlen(text);

	return length && length <= CHANGE_ID_LENGTH_MAX &&
	       strspn(text, G_CSET_A_2_Z G_CSET_a_2_z "0123456789-_.") ==
		       length;
}

static bool apply_options_read(apply_options_t *options,
			       const struct arg_str *platform,
			       const struct arg_str *change_id,
			       const struct arg_int *expect,
			       const struct arg_int *above,
			       const struct arg_int *timeout)
{
	if (!ctl_endpoint_parse("platform", platform->sval[0],
				&options->platform))
		return false;
	if (change_id->count && !is_change_id(change_id->sval[0])) {
		fprintf(stderr,
			"toucanctl: --change-id: expected letters, digits, -, "
			"_ and ., at most %d characters\n",
			CHANGE_ID_LENGTH_MAX);
		return false;
	}
	if ((expect->count && expect->ival[0] < 1) ||
	    (above->count && above->ival[0] < 1) || timeout->ival[0] < 1 ||
	    timeout->ival[0] > TIMEOUT_S_MAX) {
		fprintf(stderr,
			"toucanctl: expected --expect-revision and "
			"--above-revision of at least 1, --timeout of 1 to %d "
			"seconds\n",
			TIMEOUT_S_MAX);
		return false;
	}
	options->change_id = change_id->count ? g_strdup(change_id->sval[0]) :
						g_uuid_string_random();
	options->expect_revision =
		expect->count ? (uint64_t)expect->ival[0] : 0;
	options->above_revision = above->count ? (uint64_t)above->ival[0] : 0;
	options->timeout_s = (uint32_t)timeout->ival[0];
	return true;
}

ctl_exit_t ctl_apply(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *platform =
		arg_str1("p", "platform", "IP:PORT",
			 "address of the platform's key-value service");
	struct arg_int *expect =
		arg_int0("e", "expect-revision", "N",
			 "apply only if this revision is in force");
	struct arg_int *above = arg_int0(
		"a", "above-revision", "N",
		"use a revision above this one; for a platform that has lost "
		"its values, as nodes ignore lower revisions");
	struct arg_str *change_id =
		arg_str0("c", "change-id", "ID",
			 "id of the change; an id is applied at most once");
	struct arg_int *timeout = arg_int0("t", "timeout", "SECONDS",
					   "give up after this time (30)");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_end *end = arg_end(20);
	apply_options_t options = {.change_id = NULL};
	const ctl_files_t files = ctl_files_arguments();
	ctl_exit_t code = CTL_USAGE;

	void *table[] = {help,	platform,  files.base, files.overlays, expect,
			 above, change_id, timeout,    json,	       end};
	const ctl_arguments_t arguments = {
		"apply",
		"Validates the files, shows the differences, and replaces the "
		"configuration in\nforce by one compare-and-swap. Exits with 0 "
		"if the change is accepted (or was\nin force already), 3 if "
		"another change came first, 4 or 5 if the change is not\nin "
		"force, 6 if that is unknown.",
		table, G_N_ELEMENTS(table)};

	timeout->ival[0] = TIMEOUT_S_DEFAULT;
	if (ctl_parse(&arguments, argc, argv, &code) &&
	    apply_options_read(&options, platform, change_id, expect, above,
			       timeout)) {
		options.json = json->count > 0;
		code = apply(&options, &files);
	}
	g_free(options.change_id);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
