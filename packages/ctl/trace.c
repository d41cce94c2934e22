#include <string.h>

#include <json-glib/json-glib.h>

#include "request/json_text.h"
#include "trace.h"

#define LINE_MAX_BYTES 65536

struct trace {
	char *id;
	GPtrArray *lines;
	bool sorted;
};

static void line_free(gpointer data)
{
	struct trace_line *l = data;

	g_free(l->source);
	g_free(l->module);
	g_free(l->step);
	g_free(l->request);
	g_free(l->peer);
	g_free(l->message);
	g_free(l);
}

struct trace *trace_create(const char *id)
{
	struct trace *t = g_new0(struct trace, 1);

	t->id = g_strdup(id);
	t->lines = g_ptr_array_new_with_free_func(line_free);
	return t;
}

void trace_destroy(struct trace *t)
{
	if (!t)
		return;
	g_ptr_array_unref(t->lines);
	g_free(t->id);
	g_free(t);
}

static const char *string_member(JsonObject *o, const char *key)
{
	JsonNode *node = json_object_get_member(o, key);

	return node && JSON_NODE_HOLDS_VALUE(node) &&
			       json_node_get_value_type(node) == G_TYPE_STRING
		       ? json_node_get_string(node)
		       : "";
}

/* True for the job's id, or the id followed by a dot and the number of a step or task. */
static bool belongs_to_job(const struct trace *t, const char *request)
{
	size_t len = strlen(t->id);

	return strncmp(request, t->id, len) == 0 && (request[len] == '\0' || request[len] == '.');
}

/* Modifies line. False if it isn't a log line; true for lines of other jobs, which are skipped. */
static bool add_line(struct trace *t, char *line, const char *name)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GDateTime) time = NULL;
	char *brace = strchr(line, '{');
	struct trace_line *l;
	JsonObject *o;

	if (!brace || !json_text_load(parser, brace, strlen(brace), NULL) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		return false;
	o = json_node_get_object(json_parser_get_root(parser));
	time = g_date_time_new_from_iso8601(string_member(o, "time"), NULL);
	if (!time || !*string_member(o, "module"))
		return false;
	if (!belongs_to_job(t, string_member(o, "request")))
		return true;
	*brace = '\0';
	l = g_new0(struct trace_line, 1);
	l->time_us = g_date_time_to_unix(time) * 1000000 + g_date_time_get_microsecond(time);
	l->source = g_strdup(*g_strstrip(line) ? line : name);
	l->module = g_strdup(string_member(o, "module"));
	l->step = g_strdup(string_member(o, "step"));
	l->request = g_strdup(string_member(o, "request"));
	l->peer = g_strdup(string_member(o, "peer"));
	l->message = g_strdup(string_member(o, "message"));
	g_ptr_array_add(t->lines, l);
	return true;
}

bool trace_read(struct trace *t, FILE *in, const char *name, uint32_t *unreadable)
{
	g_autofree char *line = g_malloc(LINE_MAX_BYTES);
	uint32_t readable = 0;

	*unreadable = 0;
	t->sorted = false;
	while (fgets(line, LINE_MAX_BYTES, in)) {
		if (add_line(t, line, name))
			readable++;
		else
			(*unreadable)++;
	}
	return readable > 0;
}

static int compare_times(gconstpointer a, gconstpointer b)
{
	const struct trace_line *x = *(struct trace_line *const *)a;
	const struct trace_line *y = *(struct trace_line *const *)b;

	return x->time_us < y->time_us ? -1 : x->time_us > y->time_us;
}

const GPtrArray *trace_lines(struct trace *t)
{
	if (!t->sorted)
		g_ptr_array_sort(t->lines, compare_times);
	t->sorted = true;
	return t->lines;
}

static void print_line(const struct trace_line *l, int64_t gap_us, FILE *out)
{
	fprintf(out, "%+9.3f s  %s  %s/%s  %s%s%s  %s\n", (double)gap_us / 1000000, l->source,
		l->module, l->step, l->request, *l->peer ? " -> " : "", l->peer, l->message);
}

void trace_print(struct trace *t, FILE *out)
{
	const GPtrArray *lines = trace_lines(t);
	const struct trace_line *longest = NULL;
	int64_t longest_us = 0;
	int64_t last_us = 0;

	for (guint i = 0; i < lines->len; i++) {
		const struct trace_line *l = lines->pdata[i];
		int64_t gap_us = i ? l->time_us - last_us : 0;

		print_line(l, gap_us, out);
		if (gap_us > longest_us) {
			longest = l;
			longest_us = gap_us;
		}
		last_us = l->time_us;
	}
	if (longest)
		fprintf(out, "longest gap: %.3f s, before %s/%s: %s\n",
			(double)longest_us / 1000000, longest->module, longest->step,
			longest->message);
}
