#include <glib.h>

#include "rollout.h"

enum { POLL_MS = 200 };

/* On how many daemons a version is in force. */
struct rollout {
	uint32_t daemons;
	uint32_t reachable;
	uint32_t in_force; /* of the reachable daemons */
	GString *lagging;  /* names of the other daemons, reachable or not */
};

static gboolean on_sleep_end(void *data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

void main_loop_sleep(uint32_t ms)
{
	GMainLoop *loop = g_main_loop_new(NULL, false);

	g_timeout_add(ms, on_sleep_end, loop);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
}

static void count_daemon(struct rollout *r, JsonObject *daemon, uint64_t version)
{
	const char *name = json_object_get_string_member_with_default(daemon, "name", "?");
	bool reachable = json_object_get_boolean_member_with_default(daemon, "reachable", false);
	int64_t reported_version =
		json_object_get_int_member_with_default(daemon, "config_version", 0);

	r->daemons++;
	r->reachable += reachable;
	if (reachable && (uint64_t)reported_version >= version) {
		r->in_force++;
		return;
	}
	g_string_append_printf(r->lagging, "%s%s (%s)", r->lagging->len ? ", " : "", name,
			       reachable ? "older version" : "unreachable");
}

static bool read_rollout(struct client *c, uint64_t version, struct rollout *r)
{
	const struct call call = { .method = "GET", .path = "/v1/status" };
	JsonNode *daemons = NULL;
	struct reply reply;

	r->daemons = r->reachable = r->in_force = 0;
	g_string_truncate(r->lagging, 0);
	if (!client_call(c, &call, &reply, NULL))
		return false;
	if (reply_ok(&reply) && reply.json && JSON_NODE_HOLDS_OBJECT(reply.json))
		daemons = json_object_get_member(json_node_get_object(reply.json), "daemons");
	if (daemons && JSON_NODE_HOLDS_ARRAY(daemons)) {
		JsonArray *array = json_node_get_array(daemons);

		for (guint i = 0; i < json_array_get_length(array); i++)
			if (JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, i)))
				count_daemon(r, json_array_get_object_element(array, i), version);
	}
	reply_clear(&reply);
	return r->reachable > 0;
}

static enum exit_status report_rollout(const struct rollout *r, uint64_t version, bool seen,
				       FILE *out)
{
	if (!seen) {
		fprintf(out, "can't tell where version %" G_GUINT64_FORMAT " is in force\n",
			version);
		return EXIT_NOT_RUN;
	}
	fprintf(out, "version %" G_GUINT64_FORMAT " is in force on %u of %u daemons\n", version,
		r->in_force, r->daemons);
	if (r->lagging->len > 0)
		fprintf(out, "not yet on: %s\n", r->lagging->str);
	return r->in_force == r->reachable ? EXIT_DONE : EXIT_NOT_RUN;
}

enum exit_status rollout_wait(struct client *c, uint64_t version, uint32_t wait_ms, FILE *out,
			      FILE *err)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)wait_ms * 1000;
	struct rollout r = { .lagging = g_string_new(NULL) };
	uint32_t last = UINT32_MAX;
	enum exit_status ret;
	bool seen;

	for (;;) {
		seen = read_rollout(c, version, &r);
		if (seen && r.in_force != last)
			fprintf(err, "version %" G_GUINT64_FORMAT ": %u of %u daemons\n", version,
				r.in_force, r.daemons);
		last = seen ? r.in_force : last;
		if ((seen && r.in_force == r.reachable) || g_get_monotonic_time() >= end_us)
			break;
		main_loop_sleep(POLL_MS);
	}
	ret = report_rollout(&r, version, seen, out);
	g_string_free(r.lagging, true);
	return ret;
}
