#include <string.h>

#include "job_table.h"

#define CANCELLED 1   /* first byte of the record of a cancel */
#define TEAM_MARK ':' /* before the team */

struct job_table {
	GHashTable *by_id; /* struct cell_job */
	GHashTable *early; /* struct early_cancel by id */
	struct job_table_ops ops;
	void *ctx;
};

static void free_job(gpointer data)
{
	cell_job_destroy(data);
}

static void free_early(gpointer data)
{
	struct early_cancel *c = data;

	g_free(c->team);
	g_free(c);
}

struct job_table *job_table_create(void)
{
	struct job_table *t = g_new0(struct job_table, 1);

	t->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
	t->early = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_early);
	return t;
}

void job_table_destroy(struct job_table *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->early);
	g_hash_table_unref(t->by_id);
	g_free(t);
}

void job_table_watch(struct job_table *t, const struct job_table_ops *ops, void *ctx)
{
	t->ops = ops ? *ops : (struct job_table_ops){ NULL };
	t->ctx = ctx;
}

static struct cell_job *get(struct job_table *t, const char *id)
{
	struct cell_job *j = g_hash_table_lookup(t->by_id, id);

	if (j)
		return j;
	j = cell_job_create(id);
	g_hash_table_insert(t->by_id, j->id, j);
	return j;
}

static void changed(struct job_table *t, struct cell_job *j)
{
	if (j->spec && t->ops.changed)
		t->ops.changed(t->ctx, j);
}

/* Returns NULL if it can't be read or has another id. */
static Cell__Job *read_job(const char *id, const uint8_t *value, size_t size)
{
	Cell__Job *job = cell__job__unpack(NULL, size, value);

	if (job && g_str_equal(job->id, id))
		return job;
	if (job)
		cell__job__free_unpacked(job, NULL);
	return NULL;
}

bool job_table_may_access(const char *job_team, const char *team)
{
	return !team || !*job_team || g_str_equal(job_team, team);
}

static const struct early_cancel *find_early(const struct job_table *t, const Cell__Job *job)
{
	const struct early_cancel *c = g_hash_table_lookup(t->early, job->id);

	return c && job_table_may_access(job->team, c->team) ? c : NULL;
}

/* The newest record of a key is the one that the log keeps. Takes ownership of team. */
static void add_early(struct job_table *t, const char *id, char *team)
{
	struct early_cancel *c = g_new0(struct early_cancel, 1);

	g_strlcpy(c->id, id, sizeof(c->id));
	c->team = team;
	g_hash_table_replace(t->early, c->id, c);
}

/* An earlier release may have accepted a job that can't be done. Its caller still asks for it. */
static void set_stored_spec(struct cell_job *j, Cell__Job *job)
{
	const char *why = cell_job_check_spec(job);

	if (why)
		cell_job_set_invalid_spec(j, job, why);
	else
		cell_job_set_spec(j, job);
}

static bool apply_job(struct job_table *t, const char *id, const uint8_t *value, size_t size)
{
	Cell__Job *job = read_job(id, value, size);
	struct cell_job *j;

	if (!job)
		return false;
	j = get(t, id);
	j->record_stale = false;
	if (j->spec && !j->tentative) {
		cell__job__free_unpacked(job, NULL);
		return true;
	}
	if (j->spec)
		cell__job__free_unpacked(job, NULL);
	else
		set_stored_spec(j, job);
	j->tentative = false;
	if (find_early(t, j->spec)) {
		j->cancelled = true;
		g_hash_table_remove(t->early, id);
	}
	changed(t, j);
	return true;
}

bool job_table_add_tentative(struct job_table *t, const char *key, const uint8_t *value,
			     size_t size)
{
	struct cell_job *j;
	Cell__Job *job;

	if (strlen(key) != JOB_ID_LEN || !job_id_is_valid(key) || size == 0)
		return false;
	if (g_hash_table_contains(t->by_id, key))
		return false;
	job = read_job(key, value, size);
	if (!job)
		return false;
	if (find_early(t, job) || cell_job_check_spec(job)) {
		cell__job__free_unpacked(job, NULL);
		return false;
	}
	j = get(t, key);
	j->tentative = true;
	cell_job_set_spec(j, job);
	changed(t, j);
	return true;
}

static bool apply_progress(struct job_table *t, const char *id, const uint8_t *value, size_t size)
{
	struct cell_job *j = g_hash_table_lookup(t->by_id, id);
	struct cell_job *created = j ? NULL : cell_job_create(id);

	if (!cell_job_store_progress(j ? j : created, value, size)) {
		cell_job_destroy(created);
		return false;
	}
	if (created)
		g_hash_table_insert(t->by_id, created->id, created);
	return true;
}

/* Returns NULL if it names no team, as the records of callers without teams. */
static char *cancel_team(const uint8_t *value, size_t size)
{
	if (size < 2 || value[1] != TEAM_MARK)
		return NULL;
	return g_strndup((const char *)value + 2, size - 2);
}

uint8_t *job_table_cancel_record(const char *team, size_t *size)
{
	size_t length = team ? strlen(team) + 1 : 0;
	uint8_t *value = g_malloc(1 + length);

	value[0] = CANCELLED;
	if (team) {
		value[1] = TEAM_MARK;
		memcpy(value + 2, team, length - 1);
	}
	*size = 1 + length;
	return value;
}

static void apply_cancel(struct job_table *t, const char *id, const uint8_t *value, size_t size)
{
	struct cell_job *j = job_table_find(t, id);
	g_autofree char *team = cancel_team(value, size);

	if (!j) {
		add_early(t, id, g_steal_pointer(&team));
		return;
	}
	g_hash_table_remove(t->early, id);
	if (j->cancelled || !job_table_may_access(j->spec->team, team))
		return;
	j->cancelled = true;
	changed(t, j);
}

/* Without the job's own record, its other records are of no use and are dropped too. */
static void drop(struct job_table *t, const char *id, bool whole)
{
	struct cell_job *j = g_hash_table_lookup(t->by_id, id);

	if (!j || (j->spec && !whole))
		return;
	if (t->ops.dropped)
		t->ops.dropped(t->ctx, j);
	g_hash_table_remove(t->by_id, id);
}

/* The record of a tentative job may still be stored, late or again. */
static void keep_cancel(struct job_table *t, const struct cell_job *j)
{
	if (j->cancelled)
		add_early(t, j->id, *j->spec->team ? g_strdup(j->spec->team) : NULL);
}

bool job_table_drop_tentative(struct job_table *t, const char *id)
{
	const struct cell_job *j = g_hash_table_lookup(t->by_id, id);

	if (!j || !j->tentative)
		return false;
	keep_cancel(t, j);
	drop(t, id, true);
	return true;
}

static void drop_jobs(struct job_table *t, bool (*matches)(const struct cell_job *j))
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!matches(value))
			continue;
		if (t->ops.dropped)
			t->ops.dropped(t->ctx, value);
		g_hash_table_iter_remove(&it);
	}
}

static bool is_tentative(const struct cell_job *j)
{
	return j->tentative;
}

/* A job that is cancelled may still be stored. */
void job_table_drop_all_tentative(struct job_table *t)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (is_tentative(value))
			keep_cancel(t, value);
	drop_jobs(t, is_tentative);
}

void job_table_begin_reload(struct job_table *t, enum job_table_part part)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_job *j = value;

		if (part == JOB_TABLE_PROGRESS)
			j->progress_stale = true;
		else
			j->record_stale = j->spec;
	}
	if (part == JOB_TABLE_PROGRESS)
		return;
	g_hash_table_iter_init(&it, t->early);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct early_cancel *)value)->stale = true;
}

static bool has_stale_record(const struct cell_job *j)
{
	return j->record_stale;
}

static bool has_only_stale_progress(const struct cell_job *j)
{
	return !j->spec && j->progress_stale;
}

static gboolean is_stale_cancel(gpointer id, gpointer value, gpointer ctx)
{
	return ((const struct early_cancel *)value)->stale;
}

static void reset_stale_progress(struct job_table *t)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_job *j = value;

		if (j->progress_stale)
			cell_job_reset_progress(j);
	}
}

void job_table_end_reload(struct job_table *t, enum job_table_part part)
{
	if (part == JOB_TABLE_PROGRESS) {
		drop_jobs(t, has_only_stale_progress);
		reset_stale_progress(t);
		return;
	}
	drop_jobs(t, has_stale_record);
	g_hash_table_foreach_remove(t->early, is_stale_cancel, NULL);
}

bool job_table_apply(struct job_table *t, const char *key, const uint8_t *value, size_t size)
{
	char id[JOB_ID_LEN + 1];
	const char *kind = key + JOB_ID_LEN;

	if (strlen(key) < JOB_ID_LEN)
		return false;
	g_strlcpy(id, key, sizeof(id));
	if (!job_id_is_valid(id))
		return false;
	if (size == 0) {
		if (g_str_equal(kind, "/c"))
			g_hash_table_remove(t->early, id);
		drop(t, id, !*kind);
		return true;
	}
	if (!*kind)
		return apply_job(t, id, value, size);
	if (g_str_equal(kind, "/p"))
		return apply_progress(t, id, value, size);
	if (!g_str_equal(kind, "/c"))
		return false;
	apply_cancel(t, id, value, size);
	return true;
}

struct cell_job *job_table_find(const struct job_table *t, const char *id)
{
	struct cell_job *j = g_hash_table_lookup(t->by_id, id);

	return j && j->spec ? j : NULL;
}

uint32_t job_table_find_task(const struct job_table *t, const char *name, struct cell_job **j)
{
	char id[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;

	*j = NULL;
	if (task_name_parse(name, id, &occurrence, &step, &index))
		*j = job_table_find(t, id);
	return *j ? cell_job_find_task(*j, occurrence, step, index) : UINT32_MAX;
}

bool job_table_expects_run(const struct job_table *t, const char *name, uint32_t run,
			   const char *runner)
{
	char id[JOB_ID_LEN + 1];
	uint32_t ignored;
	const struct cell_job *j;
	Cell__Progress *m;
	bool found = false;

	if (!task_name_parse(name, id, &ignored, &ignored, &ignored))
		return false;
	j = g_hash_table_lookup(t->by_id, id);
	if (!j || j->spec)
		return false;
	m = cell_job_stored_progress(j);
	if (!m)
		return false;
	for (size_t i = 0; i < m->n_task && !found; i++)
		found = m->task[i]->run == run && g_str_equal(m->task[i]->runner, runner);
	cell__progress__free_unpacked(m, NULL);
	return found;
}

uint32_t job_table_count_waiting(const struct job_table *t, const char *queue)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_job *j = value;

		if (j->spec && !j->tentative && !j->started && !j->cancelled &&
		    !cell_job_has_ended(j) && g_str_equal(j->spec->queue, queue))
			n++;
	}
	return n;
}

const struct early_cancel *job_table_early_cancel(const struct job_table *t, const char *id)
{
	return g_hash_table_lookup(t->early, id);
}

uint32_t job_table_early_cancels(const struct job_table *t)
{
	return g_hash_table_size(t->early);
}

GPtrArray *job_table_age_cancels(struct job_table *t, int64_t now_ms, int64_t age_ms, uint32_t max)
{
	GPtrArray *old = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->early);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct early_cancel *c = value;

		if (!c->since_ms)
			c->since_ms = now_ms;
		else if (now_ms - c->since_ms >= age_ms && old->len < max)
			g_ptr_array_add(old, g_strdup(c->id));
	}
	return old;
}

void job_table_each(const struct job_table *t, void (*fn)(void *ctx, struct cell_job *j), void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_job *j = value;

		if (j->spec)
			fn(ctx, j);
	}
}

uint64_t job_table_bytes(const struct job_table *t)
{
	GHashTableIter it;
	gpointer value;
	uint64_t bytes = 0;

	g_hash_table_iter_init(&it, t->by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_job *j = value;

		bytes += j->stored_bytes;
		bytes += cell_job_has_ended(j) ? j->ended_bytes : j->open_bytes;
	}
	return bytes + g_hash_table_size(t->early) * sizeof(struct early_cancel);
}

uint32_t job_table_size(const struct job_table *t)
{
	return g_hash_table_size(t->by_id);
}
