#include <string.h>

#include <criterion/criterion.h>
#include <libsoup/soup.h>

#include "publish.h"
#include "version/config.h"
#include "version/config_json.h"

#define CLOSED_PORT_URL "http://127.0.0.1:1"

/* What the stub daemon does with one POST of a record. */
enum action {
	NO_ACTION = 0,
	APPLY,
	APPLY_AND_CLOSE, /* applied, the connection closes without a response */
	CLOSE,		 /* not applied, the connection closes without a response */
	APPLY_AND_ANSWER_504,
	ANSWER_504,	   /* not applied */
	DELAYED_APPLY_504, /* applied just before the next POST */
	ANSWER_503,
	OTHER_AUTHOR_FIRST, /* another author's record is applied just before */
};

struct publish_case {
	const char *what;
	const char *path;
	const char *text;
	uint64_t base;
	uint64_t version;
	enum action actions[5];
	enum exit_status ret;
	unsigned int posts;
	bool dry_run;
	bool lagging;		  /* one reachable daemon stays at version 0 */
	bool other_author_before; /* versions 1 and 2 are by another author */
};

static const struct publish_case publish_cases[] = {
	{ "accepted at once", .actions = { APPLY }, .posts = 1, .version = 1,
	  .text = "accepted as version 1" },
	{ "an unreachable daemon is listed but not waited for", .actions = { APPLY }, .posts = 1,
	  .version = 1, .text = "in force on 2 of 3 daemons\nnot yet on: far (unreachable)" },
	{ "a reachable daemon lags: not yet in force everywhere", .actions = { APPLY },
	  .lagging = true, .ret = EXIT_NOT_RUN, .posts = 1, .version = 1,
	  .text = "not yet on: near (older version), far (unreachable)" },
	{ "response lost, record applied", .actions = { APPLY_AND_CLOSE }, .posts = 1, .version = 1,
	  .text = "accepted as version 1" },
	{ "response lost, record not applied: retried", .actions = { CLOSE, APPLY }, .posts = 2,
	  .version = 1, .text = "sending the same record again" },
	{ "outcome unknown to the daemon, record applied", .actions = { APPLY_AND_ANSWER_504 },
	  .posts = 1, .version = 1, .text = "accepted as version 1" },
	{ "record applied after the nonce look-up: not applied twice",
	  .actions = { DELAYED_APPLY_504, APPLY }, .posts = 2, .version = 1,
	  .text = "accepted as version 1" },
	{ "outcome never known", .actions = { ANSWER_504, ANSWER_504, ANSWER_504, ANSWER_504 },
	  .ret = EXIT_UNKNOWN, .posts = 4, .text = "is not known" },
	{ "not run", .actions = { ANSWER_503 }, .ret = EXIT_NOT_RUN, .posts = 1,
	  .text = "retry in 7 s" },
	{ "response lost, then a retry not run: still unknown", .actions = { CLOSE, ANSWER_503 },
	  .ret = EXIT_UNKNOWN, .posts = 2, .text = "is not known" },
	{ "another change wins: the error names its author", .actions = { OTHER_AUTHOR_FIRST },
	  .ret = EXIT_CONFLICT, .posts = 1, .version = 1,
	  .text = "team archive was changed by rival in version 1" },
	{ "base version older than the change of another author", .base = 1,
	  .other_author_before = true, .ret = EXIT_CONFLICT, .version = 2,
	  .text = "archive was changed by rival in version 2, after the base version 1" },
	{ "dry run", .dry_run = true, .text = "+ service coach-desk\n    team: clips\n" },
	{ "files with errors are not published", .path = "no-such-directory",
	  .ret = EXIT_WRONG_INPUT,
	  .text = "no-such-directory:1:1: no such file or directory\n1 error in 0 files\n" },
};

/* A daemon that follows the actions of a case and applies records with the real code of core. */
struct stub_daemon {
	const struct publish_case *pc;
	struct config *config;
	GBytes *delayed_record;
	unsigned int posts;
};

static void apply(struct stub_daemon *d, GBytes *record, struct status *st)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(record, &size);
	struct config *next =
		config_apply(d->config, config_next_offset(d->config), data, size, st);

	config_unref(d->config);
	d->config = next;
}

static void apply_other_author(struct stub_daemon *d, uint64_t base)
{
	struct config_change change = { .is_team = true,
					.base_version = base,
					.team = { .name = "archive" } };
	size_t size;
	uint8_t *data = config_encode_record("rival", 99 + base, &change, 1, &size);
	g_autoptr(GBytes) record = g_bytes_new_take(data, size);

	apply(d, record, NULL);
}

static void answer(SoupServerMessage *msg, unsigned int status, const char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	if (status == 503)
		soup_message_headers_replace(soup_server_message_get_response_headers(msg),
					     "Retry-After", "7");
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, text,
					 strlen(text));
}

static void close_connection(SoupServerMessage *msg)
{
	g_autoptr(GIOStream) stream = soup_server_message_steal_connection(msg);

	g_io_stream_close(stream, NULL, NULL);
}

static void answer_applied(struct stub_daemon *d, SoupServerMessage *msg, const struct status *st)
{
	g_autofree char *text =
		st->code == STATUS_OK
			? g_strdup_printf("{\"offset\":0,\"version\":%d}",
					  (int)config_version(d->config))
			: g_strdup_printf("{\"status\":409,\"detail\":\"%s\"}", st->message);

	answer(msg, st->code == STATUS_OK ? 200 : 409, text);
}

static void on_post(struct stub_daemon *d, SoupServerMessage *msg)
{
	enum action action = d->posts < 5 ? d->pc->actions[d->posts] : NO_ACTION;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) record = soup_message_body_flatten(body);
	struct status st = STATUS_INIT;

	d->posts++;
	if (d->delayed_record)
		apply(d, d->delayed_record, NULL);
	g_bytes_unref(d->delayed_record);
	d->delayed_record = NULL;
	if (action == OTHER_AUTHOR_FIRST)
		apply_other_author(d, 0);
	if (action == DELAYED_APPLY_504)
		d->delayed_record = g_bytes_ref(record);
	if (action == APPLY || action == APPLY_AND_CLOSE || action == APPLY_AND_ANSWER_504 ||
	    action == OTHER_AUTHOR_FIRST)
		apply(d, record, &st);
	if (action == CLOSE || action == APPLY_AND_CLOSE)
		close_connection(msg);
	else if (action == ANSWER_503)
		answer(msg, 503, "{\"outcome\":\"not_run\",\"detail\":\"the log is away\"}");
	else if (action == ANSWER_504 || action == APPLY_AND_ANSWER_504 ||
		 action == DELAYED_APPLY_504)
		answer(msg, 504, "{\"outcome\":\"unknown\"}");
	else
		answer_applied(d, msg, &st);
}

static void on_config(SoupServer *server, SoupServerMessage *msg, const char *path,
		      GHashTable *query, void *data)
{
	struct stub_daemon *d = data;
	const char *nonce = query ? g_hash_table_lookup(query, "nonce") : NULL;
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;

	if (soup_server_message_get_method(msg) == SOUP_METHOD_POST) {
		on_post(d, msg);
		return;
	}
	json_builder_begin_object(b);
	config_json_add(b, d->config);
	json_builder_set_member_name(b, "nonce_version");
	json_builder_add_int_value(b, nonce ? (int64_t)config_nonce_version(
						      d->config, g_ascii_strtoull(nonce, NULL, 10))
					    : 0);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, false);
	answer(msg, 200, text);
}

static void on_status(SoupServer *server, SoupServerMessage *msg, const char *path,
		      GHashTable *query, void *data)
{
	struct stub_daemon *d = data;
	int version = (int)config_version(d->config);
	g_autofree char *text =
		g_strdup_printf("{\"daemons\":["
				"{\"name\":\"here\",\"reachable\":true,\"config_version\":%d},"
				"{\"name\":\"near\",\"reachable\":true,\"config_version\":%d},"
				"{\"name\":\"far\",\"reachable\":false,\"config_version\":0}]}",
				version, d->pc->lagging ? 0 : version);

	answer(msg, 200, text);
}

static SoupServer *start_server(struct stub_daemon *d, char **url)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	GSList *uris;

	cr_assert(soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	soup_server_add_handler(server, "/v1/config", on_config, d, NULL);
	soup_server_add_handler(server, "/v1/status", on_status, d, NULL);
	uris = soup_server_get_uris(server);
	*url = g_strdup_printf("http://127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return server;
}

static enum exit_status run_publish(struct client *client, const struct publish_case *pc,
				    uint64_t nonce, char **text)
{
	const char *paths[] = { pc->path ? pc->path : EXAMPLES "/shuangxi" };
	size_t size;
	FILE *out = open_memstream(text, &size);
	struct publish_options o = {
		.paths = paths,
		.n_paths = 1,
		.author = "ann",
		.nonce = nonce,
		.base_version = pc->base,
		.dry_run = pc->dry_run,
		.retry_ms = 1,
		.out = out,
		.err = out,
	};
	enum exit_status ret = publish_run(client, &o);

	fclose(out);
	return ret;
}

Test(publish, outcomes)
{
	for (size_t i = 0; i < G_N_ELEMENTS(publish_cases); i++) {
		const struct publish_case *pc = &publish_cases[i];
		struct stub_daemon d = { .pc = pc, .config = config_empty() };
		g_autofree char *url = NULL;
		SoupServer *server = start_server(&d, &url);
		const char *urls[] = { CLOSED_PORT_URL, url };
		struct client *client = client_create(urls, 2, 5000);
		char *text = NULL;
		enum exit_status ret;

		for (uint64_t base = 0; pc->other_author_before && base < 2; base++)
			apply_other_author(&d, base);
		ret = run_publish(client, pc, 7, &text);
		cr_expect_eq(ret, pc->ret, "%s: exit %d\n%s", pc->what, ret, text);
		cr_expect_eq(d.posts, pc->posts, "%s: %u posts", pc->what, d.posts);
		cr_expect_eq(config_version(d.config), pc->version, "%s", pc->what);
		cr_expect_not_null(strstr(text, pc->text), "%s:\n%s", pc->what, text);
		free(text);
		if (ret == EXIT_DONE && !pc->dry_run) {
			cr_expect_eq(run_publish(client, pc, 8, &text), EXIT_DONE, "%s again",
				     pc->what);
			cr_expect_not_null(strstr(text, " 0 changes\n"), "%s:\n%s", pc->what, text);
			cr_expect_eq(d.posts, pc->posts, "%s again", pc->what);
			free(text);
		}
		client_destroy(client);
		soup_server_disconnect(server);
		g_object_unref(server);
		config_unref(d.config);
	}
}

/* A service may name a team that is in force but not in the files. */
Test(publish, check_against_a_daemon)
{
	struct stub_daemon d = { .pc = &publish_cases[0], .config = config_empty() };
	g_autofree char *url = NULL;
	SoupServer *server = start_server(&d, &url);
	const char *urls[] = { url };
	struct client *client = client_create(urls, 1, 5000);
	const char *paths[] = { EXAMPLES "/shuangxi/vision-lab/retagging.service.yaml" };
	FILE *out = fopen("/dev/null", "w");
	struct publish_options o = { .paths = paths, .n_paths = 1, .out = out, .err = out };

	cr_expect_eq(publish_check(NULL, &o), EXIT_WRONG_INPUT);
	cr_expect_eq(publish_check(client, &o), EXIT_WRONG_INPUT);
	apply_other_author(&d, 0);
	cr_expect_eq(publish_check(client, &o), EXIT_DONE);
	fclose(out);
	client_destroy(client);
	soup_server_disconnect(server);
	g_object_unref(server);
	config_unref(d.config);
}

Test(publish, no_daemon)
{
	const char *urls[] = { CLOSED_PORT_URL };
	struct client *client = client_create(urls, 1, 5000);
	char *text = NULL;

	cr_expect_eq(run_publish(client, &publish_cases[0], 7, &text), EXIT_UNREACHABLE, "%s",
		     text);
	cr_expect_not_null(strstr(text, CLOSED_PORT_URL), "%s", text);
	free(text);
	client_destroy(client);
}

struct exit_case {
	const char *body;
	unsigned int http_status;
	enum exit_status ret;
};

Test(publish, exit_statuses)
{
	static const struct exit_case cases[] = {
		{ "{}", 400, EXIT_WRONG_INPUT },
		{ "{\"outcome\":\"not_run\"}", 404, EXIT_WRONG_INPUT },
		{ "{}", 409, EXIT_CONFLICT },
		{ "{\"outcome\":\"unknown\"}", 409, EXIT_UNKNOWN },
		{ "[]", 413, EXIT_WRONG_INPUT },
		{ "{}", 429, EXIT_NOT_RUN },
		{ "{}", 500, EXIT_FAILED },
		{ "{\"outcome\":\"not_run\"}", 502, EXIT_NOT_RUN },
		{ "{\"outcome\":\"unknown\"}", 502, EXIT_UNKNOWN },
		{ "{\"outcome\":\"failed\"}", 502, EXIT_FAILED },
		{ "{}", 503, EXIT_NOT_RUN },
		{ "{}", 504, EXIT_UNKNOWN },
		{ "{\"outcome\":\"not_run\"}", 504, EXIT_NOT_RUN },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct reply reply = { .http_status = cases[i].http_status,
				       .json = json_from_string(cases[i].body, NULL) };

		cr_expect_eq(exit_of_reply(&reply), cases[i].ret, "%u %s: %d", cases[i].http_status,
			     cases[i].body, exit_of_reply(&reply));
		reply_clear(&reply);
	}
}
