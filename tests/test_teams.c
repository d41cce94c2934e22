#include <string.h>

#include <criterion/criterion.h>
#include <libsoup/soup.h>

#include "teams_report.h"

#define CLOSED_PORT_URL "http://127.0.0.1:1"
#define DAEMONS_MAX	3
#define TIMEOUT_MS	2000 /* a busy machine must not time out on daemons that answer */

#define VIEW(vm, version, age, usable, rest)                                                       \
	"{\"vm\":\"" vm "\",\"config_version\":" version ",\"config_age_ms\":" age                 \
	",\"keys_usable\":" usable ",\"team_count\":2,\"key_count\":5," rest "}"
#define FOLLOWER "\"scheduler\":false"
#define TEAM_HOT                                                                                   \
	"{\"name\":\"hot\",\"weight\":4,\"cpu_used\":12.5,\"cpu_cap\":20.0,"                       \
	"\"mem_used\":40.0,\"mem_cap\":null,\"accel_used\":1,\"accel_cap\":8.0,"                   \
	"\"share_percent\":12.5,\"runs\":25,\"waiting_jobs\":3,\"tasks_held_back\":6,"             \
	"\"rejected_capacity\":5,\"rejected_backlog\":7}"
#define TEAM_COLD                                                                                  \
	"{\"name\":\"cold\",\"weight\":1,\"cpu_used\":0.0,\"cpu_cap\":null,"                       \
	"\"mem_used\":0.0,\"mem_cap\":null,\"accel_used\":0,\"accel_cap\":null,"                   \
	"\"share_percent\":0.0,\"runs\":0,\"waiting_jobs\":0,\"tasks_held_back\":0,"               \
	"\"rejected_capacity\":0,\"rejected_backlog\":0}"
#define SCHEDULER "\"scheduler\":true,\"teams\":[" TEAM_HOT "," TEAM_COLD "]"

/* One daemon of a case. */
struct stand_in {
	const char *body;	  /* NULL: nothing listens */
	unsigned int http_status; /* 0 for 200 */
	bool silent;		  /* takes the request and never answers */
};

struct teams_case {
	const char *what;
	struct stand_in daemons[DAEMONS_MAX];
	size_t n;
	const char *team;
	bool json;
	enum exit_status ret;
	const char *text[4]; /* parts of the output */
	const char *absent;  /* is not in the output */
};

static const struct teams_case cases[] = {
	{ "the scheduler is not the first daemon",
	  { { VIEW("a", "7", "120", "true", FOLLOWER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "vm  daemon ", "12.5  20.0     40.0     -        1.0    8.0        12.5",
		    "cold" },
	  .absent = "older" },
	{ "one team",
	  { { VIEW("a", "7", "80", "true", SCHEDULER) } },
	  .n = 1,
	  .team = "hot",
	  .text = { "hot " },
	  .absent = "cold" },
	{ "no such team",
	  { { VIEW("a", "7", "80", "true", SCHEDULER) } },
	  .n = 1,
	  .team = "warm",
	  .ret = EXIT_WRONG_INPUT,
	  .text = { "no team \"warm\"" } },
	{ "a VM has an older version",
	  { { VIEW("a", "6", "120", "true", FOLLOWER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "older version\n" } },
	{ "the scheduler has the older version",
	  { { VIEW("a", "7", "120", "true", FOLLOWER) },
	    { VIEW("b", "6", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "older version\n" } },
	{ "a VM can't confirm its version",
	  { { VIEW("a", "7", "9000", "false", FOLLOWER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "9000", "not confirmed\n" },
	  .absent = "older" },
	{ "a VM has an older version that it can't confirm",
	  { { VIEW("a", "6", "9000", "false", FOLLOWER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "older version, not confirmed\n" } },
	{ "a VM without a configuration",
	  { { VIEW("a", "null", "null", "false", FOLLOWER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "no configuration\n" } },
	{ "one daemon is down: the others are shown",
	  { { NULL }, { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { CLOSED_PORT_URL, "refused", "hot" } },
	{ "one daemon never answers",
	  { { "{}", .silent = true }, { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "timed out", "hot" } },
	{ "no daemon answers",
	  { { NULL }, { NULL } },
	  .n = 2,
	  .ret = EXIT_UNREACHABLE,
	  .text = { "no daemon answered" } },
	{ "no scheduler among the daemons",
	  { { VIEW("a", "7", "120", "true", FOLLOWER) }, { NULL } },
	  .n = 2,
	  .ret = EXIT_NOT_RUN,
	  .text = { "none of the daemons that answered is the scheduler", "7" } },
	{ "two act as the scheduler during a change",
	  { { VIEW("a", "7", "80", "true", SCHEDULER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) } },
	  .n = 2,
	  .text = { "2 daemons act as the scheduler" } },
	{ "an earlier release without the view",
	  { { "{\"detail\":\"no such path\"}", 404 } },
	  .n = 1,
	  .ret = EXIT_WRONG_INPUT,
	  .text = { "404 no such path" } },
	{ "not JSON",
	  { { "teams" } },
	  .n = 1,
	  .ret = EXIT_FAILED,
	  .text = { "the response is not a view of teams" } },
	{ "an array",
	  { { "[]" } },
	  .n = 1,
	  .ret = EXIT_FAILED,
	  .text = { "the response is not a view of teams" } },
	{ "JSON without a name of a VM",
	  { { "{\"vm\":3}" } },
	  .n = 1,
	  .ret = EXIT_FAILED,
	  .text = { "the response is not a view of teams" } },
	{ "members of other types are not a crash",
	  { { "{\"vm\":\"a\",\"config_version\":\"x\",\"scheduler\":true,"
	      "\"teams\":[3,{\"name\":4},{\"name\":\"ok\",\"cpu_used\":[]}]}" } },
	  .n = 1,
	  .team = "ok",
	  .text = { "ok " } },
	{ "as JSON",
	  { { VIEW("a", "6", "120", "true", FOLLOWER) },
	    { VIEW("b", "7", "80", "true", SCHEDULER) },
	    { NULL } },
	  .n = 3,
	  .team = "hot",
	  .json = true,
	  .text = { "\"note\" : \"older version\"", "\"cpu_cap\" : 20.0",
		    "\"rejected_backlog\" : 7", CLOSED_PORT_URL },
	  .absent = "cold" },
};

static void on_teams(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, void *data)
{
	const struct stand_in *d = data;

	if (d->silent) {
		soup_server_message_pause(msg);
		return;
	}
	soup_server_message_set_status(msg, d->http_status ? d->http_status : 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_STATIC, d->body,
					 strlen(d->body));
}

static SoupServer *start_server(const struct stand_in *d, char **url)
{
	SoupServer *server;
	GSList *uris;

	if (!d->body) {
		*url = g_strdup(CLOSED_PORT_URL);
		return NULL;
	}
	server = soup_server_new(NULL, NULL);
	cr_assert(soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	soup_server_add_handler(server, "/teams", on_teams, (void *)d, NULL);
	uris = soup_server_get_uris(server);
	*url = g_strdup_printf("http://127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return server;
}

static enum exit_status run_report(const struct teams_case *c, const char *const *urls, char **text)
{
	struct client *client = client_create(urls, c->n, TIMEOUT_MS);
	size_t size;
	FILE *out = open_memstream(text, &size);
	const struct teams_options o = { .team = c->team, .json = c->json, .out = out, .err = out };
	enum exit_status ret = teams_report_run(client, &o);

	fclose(out);
	client_destroy(client);
	return ret;
}

static void check_case(const struct teams_case *c)
{
	char *urls[DAEMONS_MAX] = { 0 };
	SoupServer *servers[DAEMONS_MAX] = { 0 };
	enum exit_status ret;
	char *text = NULL;

	for (size_t i = 0; i < c->n; i++)
		servers[i] = start_server(&c->daemons[i], &urls[i]);
	ret = run_report(c, (const char *const *)urls, &text);
	cr_expect_eq(ret, c->ret, "%s: exit %d\n%s", c->what, ret, text);
	for (size_t i = 0; i < G_N_ELEMENTS(c->text) && c->text[i]; i++)
		cr_expect_not_null(strstr(text, c->text[i]), "%s: no \"%s\" in\n%s", c->what,
				   c->text[i], text);
	if (c->absent)
		cr_expect_null(strstr(text, c->absent), "%s:\n%s", c->what, text);
	free(text);
	for (size_t i = 0; i < c->n; i++) {
		if (servers[i])
			soup_server_disconnect(servers[i]);
		g_clear_object(&servers[i]);
		g_free(urls[i]);
	}
}

/* A VM that still accepts a withdrawn key, or doesn't answer, must not be overlooked. */
Test(teams, report)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_case(&cases[i]);
}

/* An invalid URL is an error of usage only if nothing else was given. */
Test(teams, invalid_urls)
{
	static const struct teams_case c = { .n = 2, .what = "invalid URLs" };
	const char *invalid[] = { "nonsense", "also nonsense" };
	const char *mixed[] = { "nonsense", CLOSED_PORT_URL };
	char *text = NULL;

	cr_expect_eq(run_report(&c, invalid, &text), EXIT_USAGE, "%s", text);
	free(text);
	cr_expect_eq(run_report(&c, mixed, &text), EXIT_UNREACHABLE, "%s", text);
	free(text);
}
