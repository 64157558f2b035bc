#ifndef WORLD_PROCESS_H
#define WORLD_PROCESS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** One program that the world runs; it dies with the world. */
typedef struct process process_t;

/**
 * Starts a program; what it prints goes to the end of @p log_path.
 *
 * @param arguments NULL-terminated, with the program's path first
 * @return the process, or NULL with @p error set
 */
process_t *process_start(const char *name, const char *log_path,
			 char *const *arguments, GError **error);

/** Kills the process if it runs, and frees. NULL is allowed. */
void process_destroy(process_t *process);

/** Sends a signal; nothing happens once the process has ended. */
void process_signal(process_t *process, int signal_number);

/** @return whether it has not ended. */
bool process_running(process_t *process);

/**
 * Waits for the end.
 *
 * @param status receives what waitpid(2) gives
 * @return false if it still runs after @p timeout_ms
 */
bool process_wait(process_t *process, uint32_t timeout_ms, int *status);

/** @return its process id. */
int process_id(const process_t *process);

/** Prints the last lines that it has logged to standard error. */
void process_print_log(const process_t *process, uint32_t lines);

#endif
