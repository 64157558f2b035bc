#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

#define VERSION "0.1"

static const ctl_command_t commands[] = {
	{"check", "check operators' files", ctl_check},
	{"diff", "compare files with what is in force", ctl_diff},
	{"apply", "put files in force", ctl_apply},
	{"status", "show the state of a node", ctl_status},
	{"drain", "let a node leave", ctl_drain},
	{"promote", "have a replica take over from its primary", ctl_promote},
	{"verifier", "make the verifier of a password", ctl_verifier},
};

static void print_help(FILE *file)
{
	fputs("Usage: toucanctl COMMAND [OPTION]...\n"
	      "The operators' command line of toucanhook.\n\n"
	      "Commands:\n",
	      file);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(file, "  %-10s %s\n", commands[i].name,
			commands[i].purpose);
	fputs("\n`toucanctl COMMAND --help` tells more.\n\n"
	      "Exit codes:\n"
	      "  0  done, or nothing differs\n"
	      "  1  the command line is wrong\n"
	      "  2  the files are wrong\n"
	      "  3  not applied: another change came first\n"
	      "  4  not done: the platform or the node refused\n"
	      "  5  not done: no answer from the platform or the node\n"
	      "  6  not known whether it was done\n"
	      "  7  diff: something differs\n",
	      file);
}

int main(int argc, char **argv)
{
	/* A connection that breaks is an answer that was lost. */
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
		fprintf(stderr, "toucanctl: %s: there is no such command\n\n",
			argv[1]);
	print_help(stderr);
	return CTL_USAGE;
}
