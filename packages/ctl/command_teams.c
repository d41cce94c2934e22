#include <stdio.h>

#include <glib.h>

#include "command.h"
#include "teams_report.h"

enum exit_status command_teams(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the result as JSON");
	struct daemon_options daemon = {
		.daemon = arg_strn(NULL, "daemon", "URL", 0, 1024,
				   "address of a VM's metrics; repeat it, all are asked"),
		.timeout_ms = arg_int0(NULL, "timeout-ms", "N",
				       "timeout for each VM in ms (default 10000)"),
	};
	struct arg_str *name = arg_str0(NULL, NULL, "NAME", "show only this team");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, json, daemon.daemon, daemon.timeout_ms, name, end };
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret)) {
		const struct teams_options options = { .team = name->count ? name->sval[0] : NULL,
						       .json = json->count > 0,
						       .out = stdout,
						       .err = stderr };
		struct client *client = command_client(&daemon);

		ret = client ? teams_report_run(client, &options) : EXIT_USAGE;
		client_destroy(client);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
