#include <string.h>

#include "workload.h"

struct wl_run {
	char *runner;
	char *task;
	uint32_t run;
	int64_t end_ms; /* INT64_MAX: until it is stopped */
	enum run_end end;
};

struct wl_end {
	char *runner;
	char *task;
	uint32_t run;
	enum run_end end;
	uint64_t seq;
};

struct workload {
	struct fixture *f;
	GArray *job;	    /* of struct workload_job */
	GPtrArray *running; /* of struct wl_run */
	GPtrArray *ended;   /* of struct wl_end, not acknowledged yet */
	GPtrArray *failed;  /* of struct wl_end */
	GPtrArray *started; /* names of tasks */
	GPtrArray *stopped;
	uint64_t last_seq;
};

static void run_free(gpointer data)
{
	struct wl_run *r = data;

	g_free(r->runner);
	g_free(r->task);
	g_free(r);
}

static void end_free(gpointer data)
{
	struct wl_end *e = data;

	g_free(e->runner);
	g_free(e->task);
	g_free(e);
}

struct workload *workload_create(struct fixture *f)
{
	struct workload *w = g_new0(struct workload, 1);

	w->f = f;
	w->job = g_array_new(FALSE, FALSE, sizeof(struct workload_job));
	w->running = g_ptr_array_new_with_free_func(run_free);
	w->ended = g_ptr_array_new_with_free_func(end_free);
	w->failed = g_ptr_array_new_with_free_func(end_free);
	w->started = g_ptr_array_new_with_free_func(g_free);
	w->stopped = g_ptr_array_new_with_free_func(g_free);
	return w;
}

void workload_destroy(struct workload *w)
{
	g_array_unref(w->job);
	g_ptr_array_unref(w->running);
	g_ptr_array_unref(w->ended);
	g_ptr_array_unref(w->failed);
	g_ptr_array_unref(w->started);
	g_ptr_array_unref(w->stopped);
	g_free(w);
}

void workload_add(struct workload *w, const struct workload_job *job)
{
	g_array_append_val(w->job, *job);
}

static const struct workload_job *job_of(const struct workload *w, const char *task)
{
	static const struct workload_job none = { .usage = 100 };

	for (guint i = w->job->len; i > 0; i--) {
		const struct workload_job *j = &g_array_index(w->job, struct workload_job, i - 1);

		if (g_str_has_prefix(task, j->id))
			return j;
	}
	return &none;
}

void workload_adopt(struct workload *w, const char *runner, const char *task, uint32_t run)
{
	const struct workload_job *j = job_of(w, task);
	struct wl_run *r = g_new0(struct wl_run, 1);

	r->runner = g_strdup(runner);
	r->task = g_strdup(task);
	r->run = run;
	r->end = j->end;
	r->end_ms = j->run_ms ? w->f->now_ms + j->run_ms : INT64_MAX;
	g_ptr_array_add(w->running, r);
}

static void begin_runs(struct workload *w)
{
	struct fixture *f = w->f;

	for (guint i = 0; i < f->start->len; i++) {
		const struct fixture_start *s = fixture_start_at(f, i);

		workload_adopt(w, s->runner, s->task, s->run);
		g_ptr_array_add(w->started, g_strdup(s->task));
	}
	fixture_accept_starts(f);
}

static struct wl_end *end_create(const struct wl_run *r, enum run_end end, uint64_t seq)
{
	struct wl_end *e = g_new0(struct wl_end, 1);

	e->runner = g_strdup(r->runner);
	e->task = g_strdup(r->task);
	e->run = r->run;
	e->end = end;
	e->seq = seq;
	return e;
}

static void end_run(struct workload *w, guint i, enum run_end end)
{
	const struct wl_run *r = w->running->pdata[i];

	g_ptr_array_add(w->ended, end_create(r, end, ++w->last_seq));
	if (end == END_FAILED)
		g_ptr_array_add(w->failed, end_create(r, end, 0));
	g_ptr_array_remove_index(w->running, i);
}

static void stop_runs(struct workload *w)
{
	GArray *stop = w->f->stop;

	while (stop->len) {
		const struct fixture_stop *s = &g_array_index(stop, struct fixture_stop, 0);

		for (guint i = w->running->len; i > 0; i--) {
			const struct wl_run *r = w->running->pdata[i - 1];

			if (!g_str_equal(r->task, s->task) || r->run != s->run)
				continue;
			g_ptr_array_add(w->stopped, g_strdup(r->task));
			end_run(w, i - 1, END_STOPPED);
		}
		g_array_remove_index(stop, 0);
	}
}

static void end_due_runs(struct workload *w)
{
	for (guint i = w->running->len; i > 0; i--) {
		const struct wl_run *r = w->running->pdata[i - 1];

		if (r->end_ms <= w->f->now_ms)
			end_run(w, i - 1, r->end);
	}
}

/* Whether a run of another job is on the runner of r. */
static bool is_mixed(const struct workload *w, const struct wl_run *r)
{
	for (guint i = 0; i < w->running->len; i++) {
		const struct wl_run *other = w->running->pdata[i];

		if (g_str_equal(other->runner, r->runner) &&
		    strncmp(other->task, r->task, JOB_ID_LEN) != 0)
			return true;
	}
	return false;
}

/* The runner forgets the ends that are stored. */
static void forget_ends(struct workload *w, const char *runner, uint64_t acked_end)
{
	for (guint i = w->ended->len; i > 0; i--) {
		const struct wl_end *e = w->ended->pdata[i - 1];

		if (e->seq <= acked_end && g_str_equal(e->runner, runner))
			g_ptr_array_remove_index(w->ended, i - 1);
	}
}

static void answer_poll(struct workload *w, const char *runner)
{
	g_autoptr(GArray) running = g_array_new(FALSE, FALSE, sizeof(struct poll_running));
	g_autoptr(GArray) ended = g_array_new(FALSE, FALSE, sizeof(struct poll_ended));

	for (guint i = 0; i < w->running->len; i++) {
		const struct wl_run *r = w->running->pdata[i];
		const struct workload_job *j = job_of(w, r->task);
		struct poll_running row = {
			.task = r->task, .run = r->run, .checkpoint = "", .usage = j->usage
		};

		if (j->usage_mixed && is_mixed(w, r))
			row.usage = j->usage_mixed;
		if (g_str_equal(r->runner, runner))
			g_array_append_val(running, row);
	}
	for (guint i = 0; i < w->ended->len; i++) {
		const struct wl_end *e = w->ended->pdata[i];
		const struct poll_ended row = { .seq = e->seq,
						.task = e->task,
						.run = e->run,
						.end = e->end,
						.checkpoint = "" };

		if (g_str_equal(e->runner, runner))
			g_array_append_val(ended, row);
	}
	fixture_poll_answer(w->f, runner, (const struct poll_running *)running->data, running->len,
			    (const struct poll_ended *)ended->data, ended->len);
}

static void answer_polls(struct workload *w)
{
	GArray *poll = w->f->poll;

	for (guint n = poll->len; n > 0 && poll->len; n--) {
		const struct fixture_poll *p = &g_array_index(poll, struct fixture_poll, 0);
		g_autofree char *runner = g_strdup(p->runner);

		forget_ends(w, runner, p->acked_end);
		answer_poll(w, runner);
	}
}

void workload_run(struct workload *w, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += WORKLOAD_STEP_MS) {
		fixture_advance(w->f, WORKLOAD_STEP_MS);
		fixture_ack_batch(w->f);
		begin_runs(w);
		stop_runs(w);
		end_due_runs(w);
		answer_polls(w);
	}
}

static uint32_t count_names(const GPtrArray *names, const char *prefix)
{
	uint32_t n = 0;

	for (guint i = 0; i < names->len; i++)
		n += g_str_has_prefix(names->pdata[i], prefix);
	return n;
}

uint32_t workload_started(const struct workload *w, const char *prefix)
{
	return count_names(w->started, prefix);
}

uint32_t workload_failed_runs(const struct workload *w, const char *prefix)
{
	g_autoptr(GHashTable) runs = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < w->failed->len; i++) {
		const struct wl_end *e = w->failed->pdata[i];

		if (g_str_has_prefix(e->task, prefix))
			g_hash_table_add(runs, GUINT_TO_POINTER(e->run));
	}
	return g_hash_table_size(runs);
}

uint32_t workload_stopped(const struct workload *w, const char *prefix)
{
	return count_names(w->stopped, prefix);
}

uint32_t workload_running(const struct workload *w, const char *prefix, const char *runner)
{
	uint32_t n = 0;

	for (guint i = 0; i < w->running->len; i++) {
		const struct wl_run *r = w->running->pdata[i];

		n += g_str_has_prefix(r->task, prefix) &&
		     (!runner || g_str_equal(r->runner, runner));
	}
	return n;
}
