#include <string.h>

#include "book.h"

struct book {
	GHashTable *job; /* struct cell_job by id */
	struct book_ops ops;
	void *ctx;
};

static void free_plan(gpointer data)
{
	cell_job_destroy(data);
}

struct book *book_create(void)
{
	struct book *b = g_new0(struct book, 1);

	b->job = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_plan);
	return b;
}

void book_destroy(struct book *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->job);
	g_free(b);
}

void book_watch(struct book *b, const struct book_ops *ops, void *ctx)
{
	b->ops = ops ? *ops : (struct book_ops){ NULL };
	b->ctx = ctx;
}

static struct cell_job *get(struct book *b, const char *id)
{
	struct cell_job *j = g_hash_table_lookup(b->job, id);

	if (j)
		return j;
	j = cell_job_create(id);
	g_hash_table_insert(b->job, j->id, j);
	return j;
}

static void changed(struct book *b, struct cell_job *j)
{
	if (j->spec && b->ops.changed)
		b->ops.changed(b->ctx, j);
}

/* NULL if it can't be read, or is another job. */
static Cell__Job *read_job(const char *id, const uint8_t *value, size_t size)
{
	Cell__Job *job = cell__job__unpack(NULL, size, value);

	if (job && g_str_equal(job->id, id) && !cell_job_check_spec(job))
		return job;
	if (job)
		cell__job__free_unpacked(job, NULL);
	return NULL;
}

static bool apply_job(struct book *b, const char *id, const uint8_t *value, size_t size)
{
	Cell__Job *job = read_job(id, value, size);
	struct cell_job *j;

	if (!job)
		return false;
	j = get(b, id);
	if (j->spec && !j->tentative) {
		cell__job__free_unpacked(job, NULL);
		return true;
	}
	if (j->spec)
		cell__job__free_unpacked(job, NULL);
	else
		cell_job_set_spec(j, job);
	j->tentative = false;
	changed(b, j);
	return true;
}

bool book_offer(struct book *b, const char *key, const uint8_t *value, size_t size)
{
	struct cell_job *j;
	Cell__Job *job;

	if (strlen(key) != JOB_ID_LEN || !job_id_is_valid(key) || size == 0)
		return false;
	if (g_hash_table_contains(b->job, key))
		return false;
	job = read_job(key, value, size);
	if (!job)
		return false;
	j = get(b, key);
	j->tentative = true;
	cell_job_set_spec(j, job);
	changed(b, j);
	return true;
}

static bool apply_progress(struct book *b, const char *id, const uint8_t *value, size_t size)
{
	Cell__Progress *progress = cell__progress__unpack(NULL, size, value);
	struct cell_job *j;

	if (!progress)
		return false;
	j = get(b, id);
	if (j->spec)
		cell_job_apply_progress(j, progress);
	if (j->stored_progress)
		cell__progress__free_unpacked(j->stored_progress, NULL);
	/* Kept for the runs in it, which a new scheduler has to look for. */
	j->stored_progress = progress;
	return true;
}

static void apply_cancel(struct book *b, const char *id)
{
	struct cell_job *j = get(b, id);

	if (j->cancelled)
		return;
	j->cancelled = true;
	changed(b, j);
}

/* Without the job itself, its other records are forgotten too. */
static void drop(struct book *b, const char *id, bool whole)
{
	struct cell_job *j = g_hash_table_lookup(b->job, id);

	if (!j || (j->spec && !whole))
		return;
	if (b->ops.dropped)
		b->ops.dropped(b->ctx, j);
	g_hash_table_remove(b->job, id);
}

bool book_withdraw(struct book *b, const char *id)
{
	const struct cell_job *j = g_hash_table_lookup(b->job, id);

	if (!j || !j->tentative)
		return false;
	drop(b, id, true);
	return true;
}

bool book_apply(struct book *b, const char *key, const uint8_t *value, size_t size)
{
	char id[JOB_ID_LEN + 1];
	const char *kind = key + JOB_ID_LEN;

	if (strlen(key) < JOB_ID_LEN)
		return false;
	g_strlcpy(id, key, sizeof(id));
	if (!job_id_is_valid(id))
		return false;
	if (size == 0) {
		drop(b, id, !*kind);
		return true;
	}
	if (!*kind)
		return apply_job(b, id, value, size);
	if (g_str_equal(kind, "/p"))
		return apply_progress(b, id, value, size);
	if (!g_str_equal(kind, "/c"))
		return false;
	apply_cancel(b, id);
	return true;
}

struct cell_job *book_find(const struct book *b, const char *id)
{
	struct cell_job *j = g_hash_table_lookup(b->job, id);

	return j && j->spec ? j : NULL;
}

uint32_t book_find_task(const struct book *b, const char *name, struct cell_job **j)
{
	char id[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;

	*j = NULL;
	if (task_name_parse(name, id, &occurrence, &step, &index))
		*j = book_find(b, id);
	return *j ? cell_job_find_task(*j, occurrence, step, index) : UINT32_MAX;
}

uint32_t book_waiting(const struct book *b, const char *queue)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, b->job);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_job *j = value;

		if (j->spec && !j->tentative && !j->started && !j->cancelled &&
		    !cell_job_has_ended(j) && g_str_equal(j->spec->queue, queue))
			n++;
	}
	return n;
}

void book_each(const struct book *b, void (*fn)(void *ctx, struct cell_job *j), void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->job);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cell_job *j = value;

		if (j->spec)
			fn(ctx, j);
	}
}

uint32_t book_count(const struct book *b)
{
	return g_hash_table_size(b->job);
}
