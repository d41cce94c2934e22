#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "command.h"
#include "publish.h"

/* Commands for service and team files: check and publish. */

enum { DEFAULT_WAIT_MS = 10000, RETRY_MS = 250, AUTHOR_MAX_BYTES = 63 };

static struct arg_file *paths_argument(void)
{
	return arg_filen(NULL, NULL, "DIR", 1, 256,
			 "directories to search for service and team files, or such files");
}

static struct arg_file *vms_option(void)
{
	return arg_file0(NULL, "vms", "FILE",
			 "saved response of GET /v1/vms, to check sizes and data centres");
}

/* Loads the file of --vms, if given. False, with a message, if it can't be read. */
static bool load_vm_list(const struct arg_file *vms, struct vm_list **vm_list)
{
	struct status st = STATUS_INIT;

	*vm_list = NULL;
	if (vms->count == 0)
		return true;
	*vm_list = vm_list_load(vms->filename[0], &st);
	if (!*vm_list)
		fprintf(stderr, "%s: %s\n", st.peer, st.message);
	return *vm_list != NULL;
}

static enum exit_status run_check(const struct daemon_options *daemon, const struct arg_file *vms,
				  const struct arg_file *paths)
{
	struct publish_options o = {
		.paths = paths->filename,
		.n_paths = (size_t)paths->count,
		.out = stdout,
		.err = stderr,
	};
	struct client *client = daemon->daemon->count ? command_client(daemon) : NULL;
	enum exit_status ret = EXIT_WRONG_INPUT;

	if (daemon->daemon->count && !client)
		ret = EXIT_USAGE;
	else if (load_vm_list(vms, &o.vm_list))
		ret = publish_check(client, &o);
	vm_list_destroy(o.vm_list);
	client_destroy(client);
	return ret;
}

enum exit_status command_check(const struct command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *vms = vms_option(), *paths = paths_argument();
	struct daemon_options daemon = command_daemon_options();
	struct arg_end *end = arg_end(20);
	void *table[] = { help, vms, daemon.daemon, daemon.timeout_ms, paths, end };
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret))
		ret = run_check(&daemon, vms, paths);
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}

static uint64_t random_nonce(void)
{
	uint64_t nonce = ((uint64_t)g_random_int() << 32) | g_random_int();

	return nonce ? nonce : 1;
}

static const char *choose_author(const struct arg_str *author)
{
	const char *name = g_getenv("KNAPWEEDWHEEL_AUTHOR");

	if (author->count)
		return author->sval[0];
	return name && name[0] ? name : g_get_user_name();
}

/* Arguments of publish. */
struct publish_args {
	struct arg_lit *help;
	struct arg_lit *dry_run;
	struct arg_lit *prune;
	struct arg_str *author;
	struct arg_int *base;
	struct arg_int *wait_ms;
	struct arg_file *vms;
	struct daemon_options daemon;
	struct arg_file *paths;
	struct arg_end *end;
};

static struct publish_args publish_arguments(void)
{
	struct publish_args a = {
		.help = arg_lit0("h", "help", "print this help"),
		.dry_run = arg_lit0("n", "dry-run",
				    "check files and show the diff, but publish nothing"),
		.prune = arg_lit0(NULL, "prune",
				  "remove teams and services that are not in the files"),
		.author = arg_str0(NULL, "author", "NAME",
				   "author of the change (default: KNAPWEEDWHEEL_AUTHOR or login)"),
		.base = arg_int0(NULL, "base", "VERSION",
				 "refuse to overwrite changes made after this version"),
		.wait_ms = arg_int0(NULL, "wait-ms", "N",
				    "wait at most N ms for the rollout (default 10000)"),
		.vms = vms_option(),
		.daemon = command_daemon_options(),
		.paths = paths_argument(),
		.end = arg_end(20),
	};

	return a;
}

static enum exit_status run_publish(const struct publish_args *a)
{
	struct client *client = command_client(&a->daemon);
	struct publish_options o = {
		.paths = a->paths->filename,
		.n_paths = (size_t)a->paths->count,
		.author = choose_author(a->author),
		.base_version = a->base->count ? (uint64_t)MAX(a->base->ival[0], 0) : 0,
		.nonce = random_nonce(),
		.dry_run = a->dry_run->count > 0,
		.prune = a->prune->count > 0,
		.wait_ms =
			a->wait_ms->count ? (uint32_t)MAX(a->wait_ms->ival[0], 0) : DEFAULT_WAIT_MS,
		.retry_ms = RETRY_MS,
		.out = stdout,
		.err = stderr,
	};
	enum exit_status ret = EXIT_USAGE;

	if (strlen(o.author) > AUTHOR_MAX_BYTES || o.author[0] == '\0') {
		fprintf(stderr, "knapweedwheel publish: the author must have 1 to %d bytes\n",
			AUTHOR_MAX_BYTES);
	} else if (client) {
		ret = EXIT_WRONG_INPUT;
		if (load_vm_list(a->vms, &o.vm_list))
			ret = publish_run(client, &o);
	}
	vm_list_destroy(o.vm_list);
	client_destroy(client);
	return ret;
}

enum exit_status command_publish(const struct command *command, int argc, char **argv)
{
	struct publish_args a = publish_arguments();
	void *table[] = {
		a.help,		 a.dry_run,	      a.prune, a.author, a.base, a.wait_ms, a.vms,
		a.daemon.daemon, a.daemon.timeout_ms, a.paths, a.end
	};
	enum exit_status ret;

	if (command_parse(command, argc, argv, table, G_N_ELEMENTS(table), &ret))
		ret = run_publish(&a);
	arg_freetable(table, G_N_ELEMENTS(table));
	return ret;
}
