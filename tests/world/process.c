#include "world/process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"

#define WAIT_POLL_MS 2u
#define KILL_WAIT_MS 5000u

struct process {
	char *name;
	char *log_path;
	GPid pid;
	bool ended;
	int status;
};

/*
 * Redirects the output to the log and has the kernel kill the child when the
 * test ends. Runs in the child between fork and exec.
 */
static void set_up_child(gpointer context)
{
	int log = *(const int *)context;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
}

process_t *process_start(const char *name, const char *log_path,
			 char *const *arguments, GError **error)
{
	process_t *process = g_new0(process_t, 1);
	int log =
		open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	process->name = g_strdup(name);
	process->log_path = g_strdup(log_path);
	if (!g_spawn_async(NULL, (gchar **)(uintptr_t)arguments, NULL,
			   G_SPAWN_DO_NOT_REAP_CHILD, set_up_child, &log,
			   &process->pid, error)) {
		process->ended = true;
		process_destroy(process);
		process = NULL;
	}
	close(log);
	return process;
}

static void process_reap(process_t *process)
{
	pid_t reaped;

	if (process->ended)
		return;
	reaped = waitpid(process->pid, &process->status, WNOHANG);
	process->ended =
		reaped == process->pid || (reaped < 0 && errno == ECHILD);
}

bool process_running(process_t *process)
{
	process_reap(process);
	return !process->ended;
}

void process_signal(process_t *process, int signal_number)
{
	if (process_running(process))
		kill(process->pid, signal_number);
}

bool process_wait(process_t *process, uint32_t timeout_ms, int *status)
{
	uint64_t deadline_ms = clock_now_ms() + timeout_ms;

	while (process_running(process)) {
		if (clock_now_ms() > deadline_ms)
			return false;
		g_usleep(WAIT_POLL_MS * 1000u);
	}
	if (status)
		*status = process->status;
	return true;
}

int process_id(const process_t *process)
{
	return process->pid;
}

void process_destroy(process_t *process)
{
	if (!process)
		return;
	process_signal(process, SIGKILL);
	process_wait(process, KILL_WAIT_MS, NULL);
	g_free(process->name);
	g_free(process->log_path);
	g_free(process);
}

void process_print_log(const process_t *process, uint32_t lines)
{
	g_autofree char *text = NULL;
	const char *start;
	gsize size_bytes;

	if (!g_file_get_contents(process->log_path, &text, &size_bytes, NULL))
		return;
	start = text + size_bytes;
	while (start > text && (start[-1] != '\n' || lines--))
		start--;
	fprintf(stderr, "--- %s\n%s", process->name, start);
}
