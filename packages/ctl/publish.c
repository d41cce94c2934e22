#include <string.h>

#include <glib.h>

#include "diff.h"
#include "publish.h"
#include "rollout.h"
#include "tree.h"

enum { ATTEMPTS_MAX = 4 };

static enum exit_status report_diagnostics(struct diagnostics *diags, size_t files, FILE *err)
{
	size_t n = diagnostics_count(diags);

	if (n == 0)
		return EXIT_DONE;
	diagnostics_print(diags, err);
	fprintf(err, "%zu error%s in %zu file%s\n", n, n == 1 ? "" : "s", files,
		files == 1 ? "" : "s");
	return EXIT_WRONG_INPUT;
}

static enum exit_status check_files(const struct publish_options *o, struct tree *t,
				    const struct active_config *active)
{
	struct diagnostics *diags = diagnostics_create();
	enum exit_status ret;

	for (size_t i = 0; i < o->n_paths; i++)
		tree_add(t, o->paths[i], diags);
	tree_check(t, active, o->vm_list, diags);
	ret = report_diagnostics(diags, tree_count(t), o->err);
	diagnostics_destroy(diags);
	return ret;
}

static enum exit_status report_call_error(const struct status *st, FILE *err)
{
	fprintf(err, "%s %s: %s\n", st->step, st->peer, st->message);
	return exit_of_status(st);
}

static enum exit_status report_refusal(const struct reply *reply, FILE *err)
{
	fprintf(err, "%s: %u %s\n", reply->daemon, reply->http_status, reply->detail);
	if (reply->retry_after_ms)
		fprintf(err, "retry in %u s\n", reply->retry_after_ms / 1000);
	return exit_of_reply(reply);
}

static enum exit_status fetch_active_config(struct client *c, const char *path, FILE *err,
					    struct active_config **active)
{
	const struct call call = { .method = "GET", .path = path };
	struct status st = STATUS_INIT;
	enum exit_status ret = EXIT_DONE;
	struct reply reply;

	if (!client_call(c, &call, &reply, &st))
		return report_call_error(&st, err);
	if (!reply_ok(&reply)) {
		ret = report_refusal(&reply, err);
	} else {
		*active = active_config_parse(reply.json, &st);
		if (!*active)
			ret = report_call_error(&st, err);
	}
	reply_clear(&reply);
	return ret;
}

enum exit_status publish_check(struct client *c, const struct publish_options *o)
{
	struct active_config *active = NULL;
	struct tree *t;
	enum exit_status ret = EXIT_DONE;

	if (c)
		ret = fetch_active_config(c, "/v1/config", o->err, &active);
	else
		active = active_config_empty();
	if (ret != EXIT_DONE)
		return ret;
	t = tree_create();
	ret = check_files(o, t, active);
	if (ret == EXIT_DONE)
		fprintf(o->out, "%zu files, no errors\n", tree_count(t));
	tree_destroy(t);
	active_config_destroy(active);
	return ret;
}

/* Version at which the nonce was accepted, 0 if it wasn't or no daemon replied. */
static uint64_t find_nonce_version(struct client *c, const struct publish_options *o)
{
	g_autofree char *path = g_strdup_printf("/v1/config?nonce=%" G_GUINT64_FORMAT, o->nonce);
	struct active_config *active = NULL;
	uint64_t version = 0;

	if (fetch_active_config(c, path, o->err, &active) == EXIT_DONE)
		version = active_config_nonce_version(active);
	active_config_destroy(active);
	return version;
}

static uint64_t accepted_version(const struct reply *reply)
{
	if (!reply->json || !JSON_NODE_HOLDS_OBJECT(reply->json))
		return 0;
	return (uint64_t)json_object_get_int_member_with_default(json_node_get_object(reply->json),
								 "version", 0);
}

static enum exit_status append_once(struct client *c, const struct publish_options *o,
				    const uint8_t *data, size_t size, uint64_t *version)
{
	const struct call call = {
		.method = "POST",
		.path = "/v1/config",
		.content_type = "application/octet-stream",
		.body = data,
		.size = size,
	};
	struct status st = STATUS_INIT;
	enum exit_status ret = EXIT_DONE;
	struct reply reply;

	if (!client_call(c, &call, &reply, &st))
		return report_call_error(&st, o->err);
	if (reply_ok(&reply))
		*version = accepted_version(&reply);
	else
		ret = report_refusal(&reply, o->err);
	reply_clear(&reply);
	return ret;
}

/* A retry after a lost response is safe: a nonce is applied at most once. */
static enum exit_status append_with_retries(struct client *c, const struct publish_options *o,
					    const uint8_t *data, size_t size, uint64_t *version)
{
	enum exit_status ret = EXIT_UNKNOWN;
	bool lost = false;

	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		ret = append_once(c, o, data, size, version);
		if (ret != EXIT_UNKNOWN)
			break;
		lost = true;
		*version = find_nonce_version(c, o);
		if (*version)
			return EXIT_DONE;
		fprintf(o->err, "the response was lost; sending the same record again\n");
		main_loop_sleep(o->retry_ms << i);
	}
	if (lost && (ret == EXIT_NOT_RUN || ret == EXIT_UNREACHABLE || ret == EXIT_FAILED))
		ret = EXIT_UNKNOWN;
	if (ret == EXIT_UNKNOWN)
		fprintf(o->err, "it is not known whether the change was accepted; publish again to "
				"see which changes remain\n");
	return ret;
}

static enum exit_status append_changes(struct client *c, const struct publish_options *o,
				       const struct diff *d)
{
	const struct config_change *changes;
	g_autofree uint8_t *data = NULL;
	enum exit_status ret;
	uint64_t version = 0;
	size_t n, size;

	changes = diff_changes(d, &n);
	data = config_encode_record(o->author, o->nonce, changes, n, &size);
	ret = append_with_retries(c, o, data, size, &version);
	if (ret != EXIT_DONE)
		return ret;
	fprintf(o->out, "accepted as version %" G_GUINT64_FORMAT "\n", version);
	fflush(o->out);
	return rollout_wait(c, version, o->wait_ms, o->out, o->err);
}

/* False, with a message, if an item that d changes was changed after the base version. */
static bool check_base_version(const struct publish_options *o, const struct diff *d)
{
	const char *author, *name;
	uint64_t newest;

	if (o->base_version == 0 || !diff_newest_base(d, &newest, &author, &name) ||
	    newest <= o->base_version)
		return true;
	fprintf(o->err,
		"%s was changed by %s in version %" G_GUINT64_FORMAT
		", after the base version %" G_GUINT64_FORMAT "\n",
		name, author, newest, o->base_version);
	return false;
}

static enum exit_status publish_diff(struct client *c, const struct publish_options *o,
				     const struct diff *d, const struct active_config *active)
{
	size_t n;

	diff_changes(d, &n);
	fprintf(o->out, "base version %" G_GUINT64_FORMAT ", author %s, %zu change%s\n",
		active_config_version(active), o->author, n, n == 1 ? "" : "s");
	diff_print(d, o->out);
	fflush(o->out);
	if (!check_base_version(o, d))
		return EXIT_CONFLICT;
	if (o->dry_run) {
		fprintf(o->out, "dry run: nothing is published\n");
		return EXIT_DONE;
	}
	if (n == 0)
		return rollout_wait(c, active_config_version(active), o->wait_ms, o->out, o->err);
	return append_changes(c, o, d);
}

enum exit_status publish_run(struct client *c, const struct publish_options *o)
{
	struct active_config *active = NULL;
	struct tree *t;
	enum exit_status ret = fetch_active_config(c, "/v1/config", o->err, &active);

	if (ret != EXIT_DONE)
		return ret;
	t = tree_create();
	ret = check_files(o, t, active);
	if (ret == EXIT_DONE) {
		struct diff *d = diff_create(t, active, o->prune);

		ret = publish_diff(c, o, d, active);
		diff_destroy(d);
	}
	tree_destroy(t);
	active_config_destroy(active);
	return ret;
}
