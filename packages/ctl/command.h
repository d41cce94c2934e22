#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <argtable2.h>

#include "client.h"
#include "exit.h"

/* command - a subcommand of knapweedwheel. */
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
enum exit_status command_teams(const struct command *command, int argc, char **argv);
enum exit_status command_trace(const struct command *command, int argc, char **argv);

/* Options of every command that calls a daemon. */
struct daemon_options {
	struct arg_str *daemon;
	struct arg_int *timeout_ms;
};

struct daemon_options command_daemon_options(void);
/*
 * command_client - a client for the daemons given by --daemon or else KNAPWEEDWHEEL_DAEMONS. NULL,
 * with a message on stderr, if there is none.
 */
struct client *command_client(const struct daemon_options *options);

/*
 * command_parse - parses the arguments into table. False, with the exit status in ret, if the
 * command ends here: after --help or a usage error. The first entry of table must be help, the last
 * arg_end.
 */
bool command_parse(const struct command *command, int argc, char **argv, void **table, size_t n,
		   enum exit_status *ret);

/*
 * command_call - makes a call. True if the response is 2xx; the caller clears reply. Otherwise
 * prints the error to stderr, clears reply and sets ret.
 */
bool command_call(struct client *c, const struct call *call, struct reply *reply,
		  enum exit_status *ret);

#endif
