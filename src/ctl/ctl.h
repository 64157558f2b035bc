#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <argtable2.h>
#include <glib.h>

/** Exit codes of toucanctl; they are part of its interface. */
typedef enum {
	CTL_DONE = 0,
	CTL_USAGE = 1,	     /**< the command line cannot be understood */
	CTL_WRONG_FILES = 2, /**< the configuration is wrong */
	CTL_CONFLICT = 3,    /**< not applied; another change came first */
	CTL_REFUSED = 4,     /**< not done; the platform or node said no */
	CTL_UNREACHABLE = 5, /**< not done; no answer from platform or node */
	CTL_UNKNOWN = 6,     /**< it may have been done */
	CTL_DIFFERS = 7,     /**< diff: it differs from what is in force */
} ctl_exit_t;

/** One subcommand. */
typedef struct {
	const char *name;
	const char *purpose; /**< one line */
	ctl_exit_t (*run)(int argc, char **argv);
} ctl_command_t;

/** Checks operators' files. */
ctl_exit_t ctl_check(int argc, char **argv);

/** Compares operators' files with the configuration in force. */
ctl_exit_t ctl_diff(int argc, char **argv);

/** Puts operators' files in force. */
ctl_exit_t ctl_apply(int argc, char **argv);

/** Shows the state of a node. */
ctl_exit_t ctl_status(int argc, char **argv);

/** Drains a node. */
ctl_exit_t ctl_drain(int argc, char **argv);

/** Promotes a server. */
ctl_exit_t ctl_promote(int argc, char **argv);

/** Makes the verifier of a caller's password. */
ctl_exit_t ctl_verifier(int argc, char **argv);

/** The command line of one subcommand. */
typedef struct {
	const char *name;
	const char *description;
	void **table; /**< of argtable2; arg_end last, help first */
	uint32_t table_size;
} ctl_arguments_t;

/**
 * Parses a command line; prints help or what is wrong.
 *
 * @param code receives the exit code when it returns false
 * @return whether the subcommand shall run
 */
bool ctl_parse(const ctl_arguments_t *arguments, int argc, char **argv,
	       ctl_exit_t *code);

/** An address and port as in `10.0.0.1:8500` or `[::1]:8500`. */
typedef struct {
	char address[46];
	uint16_t port;
} ctl_endpoint_t;

/** Reads an endpoint; prints what is wrong. @return false if it is wrong */
bool ctl_endpoint_parse(const char *option, const char *text,
			ctl_endpoint_t *endpoint);

#endif
