#include <gio/gio.h>

#include "request/cell_job.h"
#include "run_record.h"

struct live_run {
	const void *runner;
	uint32_t run;
};

struct task_record {
	GArray *live; /* of struct live_run */
	uint32_t starts;
	uint32_t done_run;    /* that ended done last; 0: none */
	uint32_t done_starts; /* starts at that end */
	bool told;
};

struct run_record {
	GHashTable *task;   /* name -> struct task_record */
	GHashTable *lease;  /* runner -> int64_t, ms of the steady clock */
	GHashTable *failed; /* set of "JOB.RUN" */
	GString *faults;
};

static void task_record_free(gpointer data)
{
	struct task_record *t = data;

	g_array_unref(t->live);
	g_free(t);
}

struct run_record *run_record_create(void)
{
	struct run_record *rec = g_new0(struct run_record, 1);

	rec->task = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, task_record_free);
	rec->lease = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	rec->failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rec->faults = g_string_new("");
	return rec;
}

void run_record_destroy(struct run_record *rec)
{
	if (!rec)
		return;
	g_hash_table_unref(rec->task);
	g_hash_table_unref(rec->lease);
	g_hash_table_unref(rec->failed);
	g_string_free(rec->faults, TRUE);
	g_free(rec);
}

static int64_t steady_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static bool holds_lease(const struct run_record *rec, const void *runner)
{
	const int64_t *until_ms = g_hash_table_lookup(rec->lease, runner);

	return until_ms && *until_ms > steady_ms();
}

static struct task_record *find_task(struct run_record *rec, const char *task)
{
	struct task_record *t = g_hash_table_lookup(rec->task, task);

	if (t)
		return t;
	t = g_new0(struct task_record, 1);
	t->live = g_array_new(FALSE, FALSE, sizeof(struct live_run));
	g_hash_table_insert(rec->task, g_strdup(task), t);
	return t;
}

void run_record_start(struct run_record *rec, const void *runner, const char *task, uint32_t run)
{
	struct task_record *t = find_task(rec, task);
	struct live_run live = { .runner = runner, .run = run };

	if (t->told)
		g_string_append_printf(rec->faults,
				       "%s: run %u starts after the end of run %u was told\n", task,
				       run, t->done_run);
	for (guint i = 0; i < t->live->len; i++) {
		const struct live_run *other = &g_array_index(t->live, struct live_run, i);

		if (holds_lease(rec, other->runner))
			g_string_append_printf(rec->faults, "%s: run %u starts while run %u runs\n",
					       task, run, other->run);
	}
	t->starts++;
	g_array_append_val(t->live, live);
}

void run_record_lease(struct run_record *rec, const void *runner, int64_t until_ms)
{
	int64_t *copy = g_new(int64_t, 1);

	*copy = until_ms;
	g_hash_table_replace(rec->lease, (gpointer)runner, copy);
}

static void remove_live(struct task_record *t, const void *runner, uint32_t run, bool any_run)
{
	for (guint i = t->live->len; i > 0; i--) {
		const struct live_run *live = &g_array_index(t->live, struct live_run, i - 1);

		if (live->runner == runner && (any_run || live->run == run))
			g_array_remove_index_fast(t->live, i - 1);
	}
}

void run_record_end(struct run_record *rec, const void *runner, const char *task, uint32_t run,
		    bool done)
{
	struct task_record *t = find_task(rec, task);

	remove_live(t, runner, run, false);
	if (!done)
		return;
	t->done_run = run;
	t->done_starts = t->starts;
}

void run_record_failed(struct run_record *rec, const char *task, uint32_t run)
{
	g_hash_table_add(rec->failed, g_strdup_printf("%.*s.%u", JOB_ID_LEN, task, run));
}

uint32_t run_record_failed_runs(const struct run_record *rec, const char *job)
{
	GHashTableIter it;
	gpointer key;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, rec->failed);
	while (g_hash_table_iter_next(&it, &key, NULL))
		n += g_str_has_prefix(key, job);
	return n;
}

void run_record_told(struct run_record *rec, const char *task, uint32_t run)
{
	struct task_record *t = find_task(rec, task);

	if (t->done_run == run && t->starts > t->done_starts && !t->told)
		g_string_append_printf(rec->faults,
				       "%s: started again after run %u had ended done, and that "
				       "end was told later\n",
				       task, run);
	t->told = true;
}

void run_record_lost(struct run_record *rec, const void *runner)
{
	GHashTableIter it;
	gpointer t;

	g_hash_table_iter_init(&it, rec->task);
	while (g_hash_table_iter_next(&it, NULL, &t))
		remove_live(t, runner, 0, true);
	g_hash_table_remove(rec->lease, runner);
}

static uint32_t count(const struct run_record *rec, const char *prefix, bool live)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, rec->task);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct task_record *t = value;

		if (g_str_has_prefix(name, prefix))
			n += live ? t->live->len : t->starts;
	}
	return n;
}

uint32_t run_record_starts(const struct run_record *rec, const char *prefix)
{
	return count(rec, prefix, false);
}

uint32_t run_record_running(const struct run_record *rec, const char *prefix)
{
	return count(rec, prefix, true);
}

const char *run_record_faults(const struct run_record *rec)
{
	return rec->faults->str;
}
