#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define VERSION "0.1"

static const ctl_command_t commands[] = {
	{"check", "validate configuration files", ctl_check},
	{"diff", "compare files with the configuration in force", ctl_diff},
	{"apply", "put the configuration of files in force", ctl_apply},
	{"status", "show the state of a node", ctl_status},
	{"explain", "show where a statement would go, and why", ctl_explain},
	{"drain", "drain and stop a node", ctl_drain},
	{"promote", "replace a primary by one of its replicas", ctl_promote},
	{"verifier", "print the SCRAM verifier of a password", ctl_verifier},
};

static void print_help(FILE *file)
{
	fputs("Usage: toucanctl COMMAND [OPTION]...\n"
	      "Command line tool for operators of toucanhook.\n\n"
	      "Commands:\n",
	      file);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(file, "  %-10s %s\n", commands[i].name,
			commands[i].purpose);
	fputs("\nSee `toucanctl COMMAND --help` for the options.\n\n"
	      "Exit codes:\n"
	      "  0  done, or nothing differs\n"
	      "  1  the command line is invalid\n"
	      "  2  the configuration files are invalid\n"
	      "  3  not applied: another change came first\n"
	      "  4  not done: rejected by the platform or the node\n"
	      "  5  not done: the platform or the node is unreachable\n"
	      "  6  outcome unknown: it may have been done\n"
	      "  7  diff: files and configuration differ\n",
	      file);
}

int main(int argc, char **argv)
{
	/* A broken connection is reported as a lost answer. */
	signal(SIGPIPE, SIG_IGN);
	if (argc > 1 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_help(stdout);
		return CTL_DONE;
	}
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		puts("toucanctl " VERSION);
		return CTL_DONE;
	}
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return (int)commands[i].run(argc - 1, argv + 1);
	if (argc > 1)
		fprintf(stderr, "toucanctl: %s: unknown command\n\n", argv[1]);
	print_help(stderr);
	return CTL_USAGE;
}
