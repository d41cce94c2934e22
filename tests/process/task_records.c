#include <string.h>

#include <criterion/criterion.h>
#include <json-glib/json-glib.h>

#include "task_records.h"

/* Events of one task. */
struct task {
	unsigned int starts;
	unsigned int ends;
	bool is_done;
	char *worker;
};

struct task_scan {
	const char *key;
	const char *value;
	GHashTable *tasks; /* "JOB/INDEX" -> struct task */
	GPtrArray *events; /* of JsonObject */
	struct task_sum sum;
};

static void task_free(gpointer data)
{
	struct task *t = data;

	g_free(t->worker);
	g_free(t);
}

static const char *str_of(JsonObject *o, const char *name)
{
	return json_object_get_string_member_with_default(o, name, "");
}

static int64_t time_of(gconstpointer event)
{
	return json_object_get_int_member_with_default(*(JsonObject *const *)event, "t_us", 0);
}

static int by_time(gconstpointer a, gconstpointer b)
{
	return time_of(a) < time_of(b) ? -1 : time_of(a) > time_of(b);
}

static void add_lines(struct task_scan *s, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	g_autoptr(JsonParser) parser = json_parser_new();

	for (char **line = lines; *line; line++) {
		JsonObject *o;

		/* The last line may be incomplete. */
		if (!**line || !json_parser_load_from_data(parser, *line, -1, NULL))
			continue;
		o = json_node_get_object(json_parser_get_root(parser));
		if (!strcmp(str_of(o, s->key), s->value))
			g_ptr_array_add(s->events, json_object_ref(o));
	}
}

static struct task *task_of(struct task_scan *s, JsonObject *o)
{
	char *key = g_strdup_printf("%s/%" G_GINT64_FORMAT, str_of(o, "job"),
				    json_object_get_int_member_with_default(o, "index", 0));
	struct task *t = g_hash_table_lookup(s->tasks, key);

	if (t) {
		g_free(key);
		return t;
	}
	t = g_new0(struct task, 1);
	g_hash_table_insert(s->tasks, key, t);
	return t;
}

static void count_event(struct task_scan *s, JsonObject *o)
{
	bool starts = !strcmp(str_of(o, "event"), "start");
	bool ends = !strcmp(str_of(o, "event"), "end");
	struct task *t;

	if (!starts && !ends)
		return;
	t = task_of(s, o);
	if (starts) {
		s->sum.reruns += t->is_done;
		s->sum.tasks += t->starts == 0;
		s->sum.twice += t->starts == 1;
		s->sum.starts++;
		s->sum.running++;
		t->starts++;
		g_free(t->worker);
		t->worker = g_strdup(str_of(o, "worker"));
		return;
	}
	t->ends++;
	s->sum.running--;
	if (!strcmp(str_of(o, "reason"), "done") && !t->is_done) {
		t->is_done = true;
		s->sum.done++;
	}
}

static void scan_init(struct task_scan *s, const char *key, const char *value)
{
	*s = (struct task_scan){ .key = key, .value = value };
	s->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, task_free);
	s->events = g_ptr_array_new_with_free_func((GDestroyNotify)json_object_unref);
}

static void scan_run(struct task_scan *s)
{
	g_ptr_array_sort(s->events, by_time);
	for (guint i = 0; i < s->events->len; i++)
		count_event(s, s->events->pdata[i]);
}

static struct task_sum scan_end(struct task_scan *s)
{
	g_ptr_array_unref(s->events);
	g_hash_table_unref(s->tasks);
	return s->sum;
}

static void add_cell(struct task_scan *s, struct cell *c, unsigned int dc)
{
	g_autofree char *path = cell_record_path(c, dc);
	g_autofree char *text = NULL;

	cr_assert(g_file_get_contents(path, &text, NULL, NULL), "can't read %s", path);
	add_lines(s, text);
}

struct task_sum task_sum_text(const char *text, const char *key, const char *value)
{
	struct task_scan s;

	scan_init(&s, key, value);
	add_lines(&s, text);
	scan_run(&s);
	return scan_end(&s);
}

static struct task_sum sum_cell(struct cell *c, const char *key, const char *value)
{
	struct task_scan s;

	scan_init(&s, key, value);
	for (unsigned int dc = 0; dc < cell_dcs(c); dc++)
		add_cell(&s, c, dc);
	scan_run(&s);
	return scan_end(&s);
}

struct task_sum task_sum_job(struct cell *c, const char *job)
{
	return sum_cell(c, "job", job);
}

struct task_sum task_sum_service(struct cell *c, const char *service)
{
	return sum_cell(c, "service", service);
}

char *task_worker(struct cell *c, unsigned int dc, const char *job)
{
	struct task_scan s;
	GHashTableIter iter;
	gpointer value;
	char *found = NULL;

	scan_init(&s, "job", job);
	add_cell(&s, c, dc);
	scan_run(&s);
	g_hash_table_iter_init(&iter, s.tasks);
	while (!found && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct task *t = value;

		if (t->starts > t->ends)
			found = g_strdup(t->worker);
	}
	scan_end(&s);
	return found ? found : g_strdup("");
}
