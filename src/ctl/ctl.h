#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <argtable2.h>
#include <glib.h>

/** Exit codes of toucanctl. Scripts depend on the values. */
typedef enum {
	CTL_DONE = 0,	       /**< done; for diff: nothing differs */
	CTL_USAGE = 1,	       /**< the command line is invalid */
	CTL_INVALID_FILES = 2, /**< the configuration files are invalid */
	CTL_CONFLICT = 3,      /**< not applied: another change came first */
	CTL_REFUSED = 4,       /**< not done: rejected by platform or node */
	CTL_UNREACHABLE = 5,   /**< not done: platform or node unreachable */
	CTL_UNKNOWN = 6,       /**< outcome unknown: it may have been done */
	CTL_DIFFERS = 7,       /**< diff: files and configuration differ */
} ctl_exit_t;

/** One subcommand. */
typedef struct {
	const char *name;
	const char *purpose; /**< one-line description for --help */
	ctl_exit_t (*run)(int argc, char **argv);
} ctl_command_t;

/** Validates configuration files. */
ctl_exit_t ctl_check(int argc, char **argv);

/** Compares configuration files with the configuration in force. */
ctl_exit_t ctl_diff(int argc, char **argv);

/** Puts the configuration of the given files in force. */
ctl_exit_t ctl_apply(int argc, char **argv);

/** Shows the state of a node. */
ctl_exit_t ctl_status(int argc, char **argv);

/** Shows to which server a node would send a statement. */
ctl_exit_t ctl_explain(int argc, char **argv);

/** Orders a node to drain and stop. */
ctl_exit_t ctl_drain(int argc, char **argv);

/** Orders a node to promote a replica of a database. */
ctl_exit_t ctl_promote(int argc, char **argv);

/** Prints the SCRAM verifier of a caller's password. */
ctl_exit_t ctl_verifier(int argc, char **argv);

/** Describes the command line of one subcommand. */
typedef struct {
	const char *name;
	const char *description;
	void **table; /**< argtable2 entries: help first, arg_end last */
	uint32_t table_size;
} ctl_arguments_t;

/**
 * Parses the command line of a subcommand. Prints the help if it is
 * requested, or the errors.
 *
 * @param code receives the exit code if the function returns false
 * @return true if the subcommand shall run
 */
bool ctl_parse(const ctl_arguments_t *arguments, int argc, char **argv,
	       ctl_exit_t *code);

/** An IP address and port, written `10.0.0.1:8500` or `[::1]:8500`. */
typedef struct {
	char address[46];
	uint16_t port;
} ctl_endpoint_t;

/**
 * Parses an endpoint and prints an error if it is invalid.
 *
 * @param option name of the option, for the error message
 * @return false if the text is invalid
 */
bool ctl_endpoint_parse(const char *option, const char *text,
			ctl_endpoint_t *endpoint);

#endif
