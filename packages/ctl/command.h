#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <argtable2.h>

#include "client.h"
#include "exit.h"

/* command - the subcommands of knapweedwheel. */
struct command {
	const char *name;
	const char *summary;
	enum exit_status (*run)(const struct command *command, int argc, char **argv);
};

enum exit_status command_check(const struct command *command, int argc, char **argv);
enum exit_status command_publish(const struct command *command, int argc, char **argv);
enum exit_status command_submit(const struct command *command, int argc, char **argv);
enum exit_status command_status(const struct command *command, int argc, char **argv);
enum exit_status command_cancel(const struct command *command, int argc, char **argv);
enum exit_status command_explain(const struct command *command, int argc, char **argv);
enum exit_status command_drain(const struct command *command, int argc, char **argv);
enum exit_status command_trace(const struct command *command, int argc, char **argv);

/* Options that every command with a daemon has. */
struct daemon_options {
	struct arg_str *daemon;
	struct arg_int *timeout_ms;
};

struct daemon_options command_daemon_options(void);
/* command_client - a client for the daemons named by options or environment; NULL, after a message,
 * if there is none. */
struct client *command_client(const struct daemon_options *options);

/*
 * command_parse - parses the arguments. False if the command is over, with its exit status in ret:
 * after
 * --help or a usage error. help must be first and the end last in table.
 */
bool command_parse(const struct command *command, int argc, char **argv, void **table, size_t n,
		   enum exit_status *ret);

/*
 * command_call - makes a call and prints what went wrong with it. True for an answer of 2xx, which
 * the caller clears; otherwise ret holds the exit status.
 */
bool command_call(struct client *c, const struct call *call, struct reply *reply,
		  enum exit_status *ret);

#endif
