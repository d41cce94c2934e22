#include <string.h>

#include <json-glib/json-glib.h>

#include "check_records.h"

struct event {
	JsonObject *o;
	const char *worker;
	const char *name;
	int64_t t_us;
	uint64_t order; /* in which it was added, keeps the sort stable */
};

struct records {
	GPtrArray *events; /* of struct event, sorted by time once a check ran */
	bool sorted;
};

/* State of a worker at one point of the events. */
struct worker_state {
	int64_t capacity[4];
	int64_t used[4];
	int64_t leaving_us; /* -1 if not leaving */
	int64_t epoch;
	bool lapsed;
};

/* State of one check while it goes through the events. */
struct walk {
	enum records_check check;
	int64_t grace_us;
	GHashTable *workers; /* name -> struct worker_state */
	GHashTable *seen;    /* key -> event that started it */
	GPtrArray *found;
	unsigned int count;
};

static const char *const resource_names[] = { "cpu_milli", "mem_bytes", "accel", "slots" };
#define SLOTS 3

static void event_free(gpointer data)
{
	struct event *e = data;

	json_object_unref(e->o);
	g_free(e);
}

struct records *records_create(void)
{
	struct records *r = g_new0(struct records, 1);

	r->events = g_ptr_array_new_with_free_func(event_free);
	return r;
}

void records_destroy(struct records *r)
{
	if (!r)
		return;
	g_ptr_array_unref(r->events);
	g_free(r);
}

static int64_t int_of(const struct event *e, const char *name)
{
	return json_object_get_int_member_with_default(e->o, name, 0);
}

static const char *str_of(const struct event *e, const char *name)
{
	return json_object_get_string_member_with_default(e->o, name, "");
}

static bool is_event(const struct event *e, const char *name)
{
	return !strcmp(e->name, name);
}

bool records_add(struct records *r, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	g_autoptr(JsonParser) parser = json_parser_new();

	for (char **line = lines; *line; line++) {
		struct event *e;

		if (!**line)
			continue;
		if (!json_parser_load_from_data(parser, *line, -1, NULL))
			return !line[1]; /* the writer may have been killed within its last line */
		e = g_new0(struct event, 1);
		e->o = json_node_dup_object(json_parser_get_root(parser));
		e->worker = str_of(e, "worker");
		e->name = str_of(e, "event");
		e->t_us = int_of(e, "t_us");
		e->order = r->events->len;
		g_ptr_array_add(r->events, e);
	}
	r->sorted = false;
	return true;
}

bool records_add_file(struct records *r, const char *path)
{
	g_autofree char *text = NULL;

	return g_file_get_contents(path, &text, NULL, NULL) && records_add(r, text);
}

static int by_time(gconstpointer a, gconstpointer b)
{
	const struct event *l = *(const struct event *const *)a;
	const struct event *r = *(const struct event *const *)b;

	if (l->t_us != r->t_us)
		return l->t_us < r->t_us ? -1 : 1;
	return l->order < r->order ? -1 : l->order > r->order;
}

static void add_finding(struct walk *w, const struct event *e, const char *what)
{
	w->count++;
	if (w->found)
		g_ptr_array_add(w->found,
				g_strdup_printf("%s: %s %s at %" G_GINT64_FORMAT ": %s (id %s)",
						records_check_name(w->check), e->worker, e->name,
						e->t_us, what, str_of(e, "id")));
}

static struct worker_state *state_of(struct walk *w, const struct event *e)
{
	struct worker_state *s = g_hash_table_lookup(w->workers, e->worker);

	if (s)
		return s;
	s = g_new0(struct worker_state, 1);
	s->leaving_us = -1;
	g_hash_table_insert(w->workers, g_strdup(e->worker), s);
	return s;
}

static bool begins_work(const struct event *e)
{
	return is_event(e, "start") || is_event(e, "run_begin");
}

static void check_capacity(struct walk *w, const struct event *e)
{
	struct worker_state *s = state_of(w, e);
	int sign = begins_work(e) ? 1 : -1;

	if (is_event(e, "worker")) {
		for (size_t i = 0; i < G_N_ELEMENTS(resource_names); i++)
			s->capacity[i] = int_of(e, resource_names[i]);
		return;
	}
	if (is_event(e, "start") || is_event(e, "end")) {
		for (size_t i = 0; i < SLOTS; i++)
			s->used[i] += sign * int_of(e, resource_names[i]);
	} else if (is_event(e, "run_begin") || is_event(e, "run_end")) {
		s->used[SLOTS] += sign;
	}
	if (!begins_work(e))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(resource_names); i++) {
		if (s->used[i] > s->capacity[i])
			add_finding(w, e, resource_names[i]);
	}
}

static void check_overload(struct walk *w, const struct event *e)
{
	if (is_event(e, "overload"))
		add_finding(w, e, str_of(e, "what"));
}

/* "JOB/INDEX" of the task that an event is about; owned by the caller. */
static char *task_key(const struct event *e)
{
	return g_strdup_printf("%s/%" G_GINT64_FORMAT, str_of(e, "job"), int_of(e, "index"));
}

static void check_one_place(struct walk *w, const struct event *e)
{
	g_autofree char *key = NULL;
	const struct event *running;

	if (!is_event(e, "start") && !is_event(e, "end"))
		return;
	key = task_key(e);
	running = g_hash_table_lookup(w->seen, key);
	if (is_event(e, "start")) {
		if (running)
			add_finding(w, e, running->worker);
		g_hash_table_insert(w->seen, g_steal_pointer(&key), (gpointer)e);
	} else if (running && !strcmp(running->worker, e->worker) &&
		   !strcmp(str_of(running, "id"), str_of(e, "id"))) {
		g_hash_table_remove(w->seen, key);
	}
}

static void check_at_most_once(struct walk *w, const struct event *e)
{
	static const char *const names[] = { "id", "tag" };
	bool again = false;

	if (!is_event(e, "run_begin") ||
	    json_object_get_boolean_member_with_default(e->o, "idempotent", FALSE))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *value = str_of(e, names[i]);

		if (*value &&
		    !g_hash_table_insert(w->seen, g_strdup_printf("%s=%s", names[i], value),
					 (gpointer)e))
			again = true;
	}
	if (again)
		add_finding(w, e, str_of(e, "tag"));
}

static void check_leaving(struct walk *w, const struct event *e)
{
	struct worker_state *s = state_of(w, e);
	bool sent = begins_work(e) || is_event(e, "start_refused") || is_event(e, "run_refused");

	if (is_event(e, "leaving"))
		s->leaving_us = e->t_us;
	else if (is_event(e, "staying"))
		s->leaving_us = -1;
	else if (sent && s->leaving_us >= 0 && e->t_us > s->leaving_us + w->grace_us)
		add_finding(w, e, "worker is leaving");
}

static void check_epoch(struct walk *w, const struct event *e)
{
	struct worker_state *s = state_of(w, e);

	if (is_event(e, "restart")) {
		s->epoch = 0;
	} else if (is_event(e, "session")) {
		if (int_of(e, "epoch") < s->epoch)
			add_finding(w, e, "session under an old epoch");
		s->epoch = MAX(s->epoch, int_of(e, "epoch"));
		s->lapsed = false;
	} else if (is_event(e, "lease_lapsed")) {
		s->lapsed = true;
	} else if (begins_work(e)) {
		if (int_of(e, "epoch") != s->epoch)
			add_finding(w, e, "not the newest epoch");
		else if (s->lapsed)
			add_finding(w, e, "lease had lapsed");
	}
}

static const struct {
	const char *name;
	void (*check)(struct walk *w, const struct event *e);
} checks[RECORDS_CHECKS] = {
	[CHECK_CAPACITY] = { "room", check_capacity },
	[CHECK_OVERLOAD] = { "asked", check_overload },
	[CHECK_ONE_PLACE] = { "one_place", check_one_place },
	[CHECK_AT_MOST_ONCE] = { "at_most_once", check_at_most_once },
	[CHECK_LEAVING] = { "leaving", check_leaving },
	[CHECK_EPOCH] = { "epoch", check_epoch },
};

const char *records_check_name(enum records_check check)
{
	return checks[check].name;
}

unsigned int records_check(struct records *r, enum records_check check, int64_t grace_us,
			   GPtrArray *found)
{
	struct walk w = { .check = check, .grace_us = grace_us, .found = found };

	if (!r->sorted)
		g_ptr_array_sort(r->events, by_time);
	r->sorted = true;
	w.workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < r->events->len; i++)
		checks[check].check(&w, g_ptr_array_index(r->events, i));
	g_hash_table_unref(w.workers);
	g_hash_table_unref(w.seen);
	return w.count;
}

unsigned int records_count(const struct records *r, const char *event, const char *worker,
			   const char *tag)
{
	unsigned int count = 0;

	for (guint i = 0; i < r->events->len; i++) {
		const struct event *e = g_ptr_array_index(r->events, i);

		if (is_event(e, event) && (!worker || !strcmp(e->worker, worker)) &&
		    (!tag || !strcmp(str_of(e, "tag"), tag)))
			count++;
	}
	return count;
}

char *records_owner(const struct records *r, const char *worker)
{
	const char *owner = "";

	for (guint i = 0; i < r->events->len; i++) {
		const struct event *e = g_ptr_array_index(r->events, i);

		if (is_event(e, "session") && !strcmp(e->worker, worker))
			owner = str_of(e, "owner");
	}
	return g_strdup(owner);
}

unsigned int records_tasks_done(const struct records *r)
{
	g_autoptr(GHashTable) done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < r->events->len; i++) {
		const struct event *e = g_ptr_array_index(r->events, i);

		if (is_event(e, "end") && !strcmp(str_of(e, "reason"), "done"))
			g_hash_table_add(done, task_key(e));
	}
	return g_hash_table_size(done);
}
