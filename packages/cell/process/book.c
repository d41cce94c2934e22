#include <string.h>

#include "book.h"

struct book {
	GHashTable *plan;
	struct book_ops ops;
	void *ctx;
};

static void free_plan(gpointer data)
{
	plan_destroy(data);
}

struct book *book_create(void)
{
	struct book *b = g_new0(struct book, 1);

	b->plan = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_plan);
	return b;
}

void book_destroy(struct book *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->plan);
	g_free(b);
}

void book_watch(struct book *b, const struct book_ops *ops, void *ctx)
{
	b->ops = ops ? *ops : (struct book_ops){ NULL };
	b->ctx = ctx;
}

static struct plan *get(struct book *b, const char *id)
{
	struct plan *p = g_hash_table_lookup(b->plan, id);

	if (p)
		return p;
	p = plan_create(id);
	g_hash_table_insert(b->plan, p->id, p);
	return p;
}

static void changed(struct book *b, struct plan *p)
{
	if (p->job && b->ops.changed)
		b->ops.changed(b->ctx, p);
}

/* NULL if it can't be read, or is another job. */
static Cell__Job *read_job(const char *id, const uint8_t *value, size_t size)
{
	Cell__Job *job = cell__job__unpack(NULL, size, value);

	if (job && g_str_equal(job->id, id) && !plan_check(job))
		return job;
	if (job)
		cell__job__free_unpacked(job, NULL);
	return NULL;
}

static bool apply_job(struct book *b, const char *id, const uint8_t *value, size_t size)
{
	Cell__Job *job = read_job(id, value, size);
	struct plan *p;

	if (!job)
		return false;
	p = get(b, id);
	if (p->job && !p->tentative) {
		cell__job__free_unpacked(job, NULL);
		return true;
	}
	if (p->job)
		cell__job__free_unpacked(job, NULL);
	else
		plan_set_job(p, job);
	p->tentative = false;
	changed(b, p);
	return true;
}

bool book_offer(struct book *b, const char *key, const uint8_t *value, size_t size)
{
	struct plan *p;
	Cell__Job *job;

	if (strlen(key) != JOB_ID_LEN || !plan_is_id(key) || size == 0)
		return false;
	if (g_hash_table_contains(b->plan, key))
		return false;
	job = read_job(key, value, size);
	if (!job)
		return false;
	p = get(b, key);
	p->tentative = true;
	plan_set_job(p, job);
	changed(b, p);
	return true;
}

static bool apply_progress(struct book *b, const char *id, const uint8_t *value, size_t size)
{
	Cell__Progress *progress = cell__progress__unpack(NULL, size, value);
	struct plan *p;

	if (!progress)
		return false;
	p = get(b, id);
	if (p->job)
		plan_apply(p, progress);
	if (p->stored)
		cell__progress__free_unpacked(p->stored, NULL);
	/* Kept for the runs in it, which a new scheduler has to look for. */
	p->stored = progress;
	return true;
}

static void apply_cancel(struct book *b, const char *id)
{
	struct plan *p = get(b, id);

	if (p->cancelled)
		return;
	p->cancelled = true;
	changed(b, p);
}

/* Without the job itself, its other records are forgotten too. */
static void drop(struct book *b, const char *id, bool whole)
{
	struct plan *p = g_hash_table_lookup(b->plan, id);

	if (!p || (p->job && !whole))
		return;
	if (b->ops.dropped)
		b->ops.dropped(b->ctx, p);
	g_hash_table_remove(b->plan, id);
}

bool book_withdraw(struct book *b, const char *id)
{
	const struct plan *p = g_hash_table_lookup(b->plan, id);

	if (!p || !p->tentative)
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
	if (!plan_is_id(id))
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

struct plan *book_find(const struct book *b, const char *id)
{
	struct plan *p = g_hash_table_lookup(b->plan, id);

	return p && p->job ? p : NULL;
}

uint32_t book_find_task(const struct book *b, const char *name, struct plan **p)
{
	char id[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;

	*p = NULL;
	if (plan_parse_name(name, id, &occurrence, &step, &index))
		*p = book_find(b, id);
	return *p ? plan_task_number(*p, occurrence, step, index) : UINT32_MAX;
}

uint32_t book_waiting(const struct book *b, const char *queue)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, b->plan);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct plan *p = value;

		if (p->job && !p->tentative && !p->started && !p->cancelled && !plan_ended(p) &&
		    g_str_equal(p->job->queue, queue))
			n++;
	}
	return n;
}

void book_each(const struct book *b, void (*fn)(void *ctx, struct plan *p), void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->plan);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct plan *p = value;

		if (p->job)
			fn(ctx, p);
	}
}

uint32_t book_count(const struct book *b)
{
	return g_hash_table_size(b->plan);
}
