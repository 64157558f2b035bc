#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>
#include <termios.h>
#include <unistd.h>

#include <sodium.h>

#include "protocol/scram.h"

#define SCRAM_ITERATIONS 4096
#define SALT_SIZE_BYTES 16
#define PASSWORD_SIZE_BYTES 1024

/* Reads a line from standard input; disables the echo of a terminal. */
static bool read_password(char *password, size_t size_bytes)
{
	const bool is_terminal = isatty(STDIN_FILENO);
	struct termios saved;
	struct termios no_echo;
	char *line;

	if (is_terminal) {
		fputs("Password: ", stderr);
		tcgetattr(STDIN_FILENO, &saved);
		no_echo = saved;
		no_echo.c_lflag &= ~(tcflag_t)ECHO;
		tcsetattr(STDIN_FILENO, TCSAFLUSH, &no_echo);
	}
	line = fgets(password, (int)size_bytes, stdin);
	if (is_terminal) {
		tcsetattr(STDIN_FILENO, TCSAFLUSH, &saved);
		fputs("\n", stderr);
	}
	if (!line)
		return false;
	password[strcspn(password, "\r\n")] = '\0';
	return true;
}

static ctl_exit_t print_verifier(const char *password, const char *user,
				 const char *class_name)
{
	uint8_t salt[SALT_SIZE_BYTES];
	g_autofree char *verifier = NULL;

	if (sodium_init() < 0)
		g_error("libsodium initialization failed");
	randombytes_buf(salt, sizeof(salt));
	verifier = scram_verifier_new(password, salt, sizeof(salt),
				      SCRAM_ITERATIONS);
	if (!verifier) {
		fprintf(stderr, "toucanctl: the password is empty\n");
		return CTL_USAGE;
	}
	if (user)
		printf("- name: %s\n  class_name: %s\n  verifier: %s\n", user,
		       class_name, verifier);
	else
		puts(verifier);
	return CTL_DONE;
}

static ctl_exit_t verifier(const struct arg_str *password,
			   const struct arg_str *user,
			   const struct arg_str *class_name)
{
	char line[PASSWORD_SIZE_BYTES];
	ctl_exit_t code;

	if (password->count)
		return print_verifier(password->sval[0],
				      user->count ? user->sval[0] : NULL,
				      class_name->sval[0]);
	if (!read_password(line, sizeof(line))) {
		fprintf(stderr, "toucanctl: no password was given\n");
		return CTL_USAGE;
	}
	code = print_verifier(line, user->count ? user->sval[0] : NULL,
			      class_name->sval[0]);
	sodium_memzero(line, sizeof(line));
	return code;
}

ctl_exit_t ctl_verifier(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *password =
		arg_str0(NULL, "password", "PASSWORD",
			 "the password; visible to other users of this "
			 "machine. Read from standard input if omitted");
	struct arg_str *user =
		arg_str0("u", "user", "NAME",
			 "print a complete entry of this caller for the base "
			 "file");
	struct arg_str *class_name =
		arg_str0("c", "class", "NAME", "class of the caller's entry");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, password, user, class_name, end};
	const ctl_arguments_t arguments = {
		"verifier",
		"Prints the SCRAM verifier that the configuration stores "
		"instead of a caller's\npassword.",
		table, G_N_ELEMENTS(table)};
	ctl_exit_t code = CTL_DONE;

	class_name->sval[0] = "CLASS";
	if (ctl_parse(&arguments, argc, argv, &code))
		code = verifier(password, user, class_name);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
