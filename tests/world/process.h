#ifndef WORLD_PROCESS_H
#define WORLD_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** A child process of the test; the kernel kills it when the test ends. */
typedef struct process process_t;

/**
 * Starts a program and appends its output to the file @p log_path.
 *
 * @param name      name of the process in printed logs
 * @param arguments NULL-terminated, with the program's path first
 * @return the process, or NULL with @p error set
 */
process_t *process_start(const char *name, const char *log_path,
			 char *const *arguments, GError **error);

/** Kills the process if it still runs and frees it. NULL is allowed. */
void process_destroy(process_t *process);

/** Sends a signal to the process unless it has ended. */
void process_signal(process_t *process, int signal_number);

/** Returns whether the process still runs. */
bool process_running(process_t *process);

/**
 * Waits until the process ends.
 *
 * @param status receives the status as set by waitpid(2); may be NULL
 * @return false if the process still runs after @p timeout_ms
 */
bool process_wait(process_t *process, uint32_t timeout_ms, int *status);

/** Returns the process id. */
int process_id(const process_t *process);

/** Prints the last lines of the process's log to standard error. */
void process_print_log(const process_t *process, uint32_t lines);

#endif
