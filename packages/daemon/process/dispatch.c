#define G_LOG_DOMAIN "dispatch"

#include <string.h>

#include "clock.h"
#include "dispatch_priv.h"
#include "log.h"

#define TICK_MS 1000
/* Number of records after which a snapshot is appended. */
#define SNAPSHOT_RECORDS 1024
#define RUNS_CHECK_MS	 200
/* Tasks of a job to claim ahead while no owner has free capacity; they queue at owners. */
#define CLAIMS_WITHOUT_CAPACITY 4

static char *run_key(const char *job, uint32_t index)
{
	return g_strdup_printf("%s/%u", job, index);
}

bool dispatch_coordinates(const struct dispatch *d, const char *job)
{
	const char *first;

	return members_rank(d->deps.members, d->deps.set->dc, job, true, &first, 1) &&
	       strcmp(first, d->deps.set->name) == 0;
}

static uint64_t make_nonce(void)
{
	return ((uint64_t)g_random_int() << 32) | g_random_int() | 1;
}

static struct taskrun_deps run_deps(const struct dispatch *d)
{
	return (struct taskrun_deps){
		.set = d->deps.set,
		.members = d->deps.members,
		.calls = d->deps.calls,
		.fleet = racks_fleet(d->deps.racks),
	};
}

static char *attempt_key(const char *job, uint32_t index, uint32_t attempt)
{
	return g_strdup_printf("%s/%u/%u", job, index, attempt);
}

static void on_run_end(void *ctx, struct taskrun *t, enum outcome out, const char *why)
{
	struct dispatch *d = ctx;
	g_autofree char *key = run_key(taskrun_job(t), taskrun_index(t));

	jobs_task_ended(d->jobs, taskrun_job(t), taskrun_index(t), taskrun_attempt(t), out,
			now_ms());
	metrics_counter(d->deps.metrics, "kw_tasks_total", "Task attempts by outcome", "outcome",
			outcome_name(out), NULL)
		->value++;
	if (out != OUTCOME_DONE)
		log_request(LOG_INFO, taskrun_job(t), "task", taskrun_worker(t), "task %u: %s: %s",
			    taskrun_index(t), outcome_name(out), why);
	g_hash_table_add(d->unconfirmed_ends,
			 attempt_key(taskrun_job(t), taskrun_index(t), taskrun_attempt(t)));
	g_hash_table_remove(d->runs, key);
	dispatch_schedule_work(d);
}

static void on_run_started(void *ctx, struct taskrun *t)
{
	struct dispatch *d = ctx;

	jobs_task_started(d->jobs, taskrun_job(t), taskrun_index(t), taskrun_attempt(t));
}

static const struct taskrun_ops run_ops = {
	.started = on_run_started,
	.ended = on_run_end,
};

static void add_run(struct dispatch *d, struct taskrun *t)
{
	g_hash_table_replace(d->runs, run_key(taskrun_job(t), taskrun_index(t)), t);
}

/* Picks an owner with free capacity, else one that can queue the task. */
static const char *choose_owner(struct dispatch *d, const struct job_spec *spec, uint32_t index)
{
	const char *dc = d->deps.set->dc;
	const char *names[2];
	const char *owner = NULL;
	size_t n;

	if (spec->class != WORK_GANG)
		owner = loadtable_pick_task(d->deps.loads, dc, &spec->size);
	if (owner)
		return owner;
	n = members_rank(d->deps.members, dc, spec->id, true, names, 2);
	if (n == 0)
		return d->deps.set->name;
	return spec->class == WORK_GANG ? names[0] : names[index % n];
}

static void start_task(struct dispatch *d, const struct job_start *s, uint32_t index)
{
	struct taskrun_deps deps = run_deps(d);
	const char *owner = choose_owner(d, s->spec, index);
	struct taskrun *t = taskrun_start(&deps, s->spec, index, s->attempt, s->use_until_ms, owner,
					  &run_ops, d);

	if (t)
		add_run(d, t);
	else
		jobs_task_ended(d->jobs, s->spec->id, index, s->attempt, OUTCOME_NOT_RUN, now_ms());
}

/* A draining daemon returns what its last claims won, since nobody would follow the tasks. */
static void return_claim(struct dispatch *d, const struct job_start *s)
{
	for (uint32_t i = 0; i < s->count; i++)
		jobs_task_ended(d->jobs, s->spec->id, s->first + i, s->attempt, OUTCOME_NOT_RUN,
				now_ms());
}

static void start_won_claims(struct dispatch *d)
{
	struct job_start s;

	while (jobs_take_won_claim(d->jobs, &s, now_ms())) {
		if (d->draining) {
			return_claim(d, &s);
			continue;
		}
		for (uint32_t i = 0; i < s.count; i++)
			start_task(d, &s, s.first + i);
	}
}

/* A claimant is "NAME@INCARNATION" of a daemon. */
static bool is_claimant_gone(void *ctx, const char *claimant)
{
	struct dispatch *d = ctx;
	const char *at = strrchr(claimant, '@');
	g_autofree char *name = at ? g_strndup(claimant, (gsize)(at - claimant)) : NULL;
	enum member_state state;
	uint64_t incarnation;

	if (!name)
		return true;
	if (strcmp(claimant, d->self) == 0)
		return false;
	if (strcmp(name, d->deps.set->name) == 0)
		return true;
	state = members_state(d->deps.members, name);
	incarnation = peers_incarnation(d->deps.peers, name);
	if (state == MEMBER_DEAD || state == MEMBER_ABSENT)
		return true;
	return incarnation && incarnation != g_ascii_strtoull(at + 1, NULL, 10);
}

static void on_orphan(void *ctx, const struct job_spec *spec, uint32_t index, uint32_t attempt)
{
	struct dispatch *d = ctx;
	g_autofree char *key = run_key(spec->id, index);
	g_autofree char *ended = attempt_key(spec->id, index, attempt);
	struct taskrun_deps deps = run_deps(d);

	if (!dispatch_coordinates(d, spec->id) || g_hash_table_contains(d->runs, key) ||
	    g_hash_table_contains(d->unconfirmed_ends, ended))
		return;
	add_run(d, taskrun_find(&deps, spec, index, attempt, &run_ops, d));
}

struct claim_append {
	struct dispatch *dispatch;
	char *job;
};

static void on_claimed(void *ctx, enum append_result result, uint64_t offset, const char *why)
{
	struct claim_append *c = ctx;

	g_hash_table_remove(c->dispatch->claiming, c->job);
	if (result == APPEND_OK)
		c->dispatch->claim_next_offset = MAX(c->dispatch->claim_next_offset, offset + 1);
	else
		log_info("claim", "platform", "claim not confirmed: %s", why);
	g_free(c->job);
	g_free(c);
}

static void append_claim(struct dispatch *d, const char *job, uint32_t first, uint32_t count,
			 uint32_t attempt)
{
	uint64_t nonce = make_nonce();
	struct claim_append *c = g_new0(struct claim_append, 1);
	g_autofree uint8_t *data = NULL;
	size_t size;

	c->dispatch = d;
	c->job = g_strdup(job);
	g_hash_table_add(d->claiming, g_strdup(job));
	data = jobs_record_claim(job, first, count, attempt, d->self, nonce, &size);
	jobs_claim_sent(d->jobs, nonce, now_ms());
	platform_append(d->deps.platform, d->stream, data, size, on_claimed, c);
}

/* Number of tasks of the job that may be claimed now. */
static uint32_t claim_limit(struct dispatch *d, const struct job_view *v)
{
	uint32_t open = v->count[TASK_CLAIMED] + v->count[TASK_RUNNING];
	uint32_t window = d->deps.set->dispatch_window;

	if (v->spec->class == WORK_GANG || v->spec->class == WORK_SERVICE)
		return v->spec->tasks;
	if (!loadtable_pick_task(d->deps.loads, d->deps.set->dc, &v->spec->size))
		window = CLAIMS_WITHOUT_CAPACITY;
	return window > open ? window - open : 0;
}

static void claim_tasks(void *ctx, const struct job_view *v)
{
	struct dispatch *d = ctx;
	uint32_t first;
	uint32_t count;
	uint32_t attempt;
	uint32_t max;

	if (v->state > JOB_RUNNING || v->count[TASK_WAITING] == 0)
		return;
	if (!dispatch_coordinates(d, v->spec->id) ||
	    g_hash_table_contains(d->claiming, v->spec->id))
		return;
	max = claim_limit(d, v);
	if (max && jobs_unclaimed(d->jobs, v->spec->id, max, &first, &count, &attempt))
		append_claim(d, v->spec->id, first, count, attempt);
}

/* Stops tasks that were cancelled or exceed the count of their service. */
static void stop_unwanted(struct dispatch *d)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms() - d->runs_checked_ms < RUNS_CHECK_MS)
		return;
	d->runs_checked_ms = now_ms();
	g_hash_table_iter_init(&iter, d->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!jobs_task_wanted(d->jobs, taskrun_job(value), taskrun_index(value),
				      taskrun_attempt(value)))
			taskrun_stop(value);
}

static void do_work(struct dispatch *d)
{
	start_won_claims(d);
	if (!d->caught_up || d->draining)
		return;
	jobs_each_orphan(d->jobs, is_claimant_gone, on_orphan, d, now_ms());
	if (tail_reachable(d->tail)) {
		dispatch_reconcile_services(d);
		jobs_each(d->jobs, claim_tasks, d);
	}
	stop_unwanted(d);
}

static gboolean on_work(gpointer data)
{
	struct dispatch *d = data;

	d->work_source = 0;
	do_work(d);
	return G_SOURCE_REMOVE;
}

void dispatch_schedule_work(struct dispatch *d)
{
	if (!d->work_source)
		d->work_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_work, d, NULL);
}

static void on_snapshot_appended(void *ctx, enum append_result result, uint64_t offset,
				 const char *why)
{
	if (result != APPEND_OK)
		log_warn("snapshot", "platform", "snapshot not appended: %s", why);
}

static bool snapshot_is_due(const struct dispatch *d)
{
	if (d->records_since_snapshot >= SNAPSHOT_RECORDS)
		return true;
	return jobs_next_offset(d->jobs) && now_ms() - d->snapshot_ms >= d->deps.set->snapshot_ms;
}

static void append_snapshot(struct dispatch *d)
{
	g_autoptr(GPtrArray) parts = NULL;

	if (!d->caught_up || !snapshot_is_due(d))
		return;
	d->records_since_snapshot = 0;
	d->snapshot_ms = now_ms();
	if (!dispatch_coordinates(d, d->stream))
		return;
	parts = jobs_record_snapshot_parts(d->jobs);
	for (guint i = 0; i < parts->len; i++) {
		gsize size;
		const uint8_t *data = g_bytes_get_data(parts->pdata[i], &size);

		platform_append(d->deps.platform, d->stream, data, size, on_snapshot_appended, d);
	}
}

static gboolean on_tick(gpointer data)
{
	do_work(data);
	append_snapshot(data);
	return G_SOURCE_CONTINUE;
}

static void on_progress_appended(void *ctx, enum append_result result, uint64_t offset,
				 const char *why)
{
	struct dispatch *d = ctx;

	d->appending_progress = false;
	if (result == APPEND_OK) {
		g_clear_pointer(&d->unconfirmed_progress, g_bytes_unref);
		d->progress_next_offset = MAX(d->progress_next_offset, offset + 1);
	} else {
		log_warn("progress", "platform", "progress not confirmed, will retry: %s", why);
	}
}

/* Appending the same progress twice has no effect, so it is repeated until confirmed. */
static gboolean on_progress(gpointer data)
{
	struct dispatch *d = data;
	const uint8_t *bytes;
	gsize size;

	if (d->appending_progress)
		return G_SOURCE_CONTINUE;
	if (!d->unconfirmed_progress) {
		uint8_t *rec = jobs_record_progress(d->jobs, &size);

		if (!rec)
			return G_SOURCE_CONTINUE;
		d->unconfirmed_progress = g_bytes_new_take(rec, size);
	}
	d->appending_progress = true;
	bytes = g_bytes_get_data(d->unconfirmed_progress, &size);
	platform_append(d->deps.platform, d->stream, bytes, size, on_progress_appended, d);
	return G_SOURCE_CONTINUE;
}

static void on_record(void *ctx, uint64_t offset, const uint8_t *data, size_t size)
{
	struct dispatch *d = ctx;
	struct status st = STATUS_INIT;

	if (!jobs_apply(d->jobs, offset, data, size, now_ms(), &st))
		log_info("apply", "", "record %" G_GUINT64_FORMAT ": %s", offset, st.message);
	/* After a snapshot was installed, reading continues where it ends. */
	if (jobs_bootstrapped(d->jobs) && jobs_next_offset(d->jobs) != offset + 1)
		tail_seek(d->tail, jobs_next_offset(d->jobs));
	d->records_since_snapshot++;
	/*
	 * All ends up to the last progress record were read back. Later ones may be appended twice,
	 * which has no effect.
	 */
	if (offset + 1 == d->progress_next_offset)
		g_hash_table_remove_all(d->unconfirmed_ends);
	jobsapi_record_applied(d);
	joblookup_record_applied(d);
	dispatch_schedule_work(d);
}

static void on_caught_up(void *ctx, uint64_t next)
{
	struct dispatch *d = ctx;

	d->caught_up = jobs_bootstrapped(d->jobs);
	dispatch_schedule_work(d);
	append_snapshot(d);
}

static void on_truncated(void *ctx, uint64_t first)
{
	struct dispatch *d = ctx;

	log_warn("tail", "platform",
		 "job records before offset %" G_GUINT64_FORMAT " were dropped by the platform",
		 first);
	d->caught_up = false;
	/* Claims made under the old name are lost, so later claims need a new name. */
	g_free(d->self);
	d->self = g_strdup_printf("%s@%" G_GINT64_FORMAT, d->deps.set->name, g_get_real_time());
	jobs_reset(d->jobs, first, false, d->self);
	tail_seek(d->tail, first);
}

static void on_reachable(void *ctx, bool yes)
{
	dispatch_schedule_work(ctx);
}

static const struct tail_ops tail_ops = {
	.record = on_record,
	.caught_up = on_caught_up,
	.truncated = on_truncated,
	.reachable = on_reachable,
};

static void run_free(gpointer data)
{
	taskrun_free(data);
}

struct dispatch *dispatch_create(const struct dispatch_deps *deps)
{
	struct dispatch *d = g_new0(struct dispatch, 1);
	struct jobs_conf conf = {
		.claim_use_ms = deps->set->claim_use_ms,
		.drift_ppm = deps->set->drift_ppm,
		.settle_ms = deps->set->settle_ms,
		.keep_ms = deps->set->job_keep_ms,
		.jobs_max = deps->set->jobs_max,
	};

	d->deps = *deps;
	d->self = g_strdup_printf("%s@%" G_GUINT64_FORMAT, deps->set->name, deps->incarnation);
	d->stream = g_strdup_printf("jobs.%s", deps->set->dc);
	conf.self = d->self;
	d->jobs = jobs_create(&conf);
	d->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, run_free);
	d->unconfirmed_ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->claiming = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->appended_services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->snapshot_ms = now_ms();
	jobsapi_create(d);
	return d;
}

void dispatch_start(struct dispatch *d)
{
	d->tail = platform_tail(d->deps.platform, d->stream, 0, &tail_ops, d);
	d->tick_timer = g_timeout_add(TICK_MS, on_tick, d);
	d->progress_timer = g_timeout_add(d->deps.set->progress_ms, on_progress, d);
}

void dispatch_members_changed(struct dispatch *d)
{
	dispatch_schedule_work(d);
}

void dispatch_drain(struct dispatch *d)
{
	GHashTableIter iter;
	gpointer value;

	d->draining = true;
	g_hash_table_iter_init(&iter, d->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		taskrun_withdraw(value);
	on_progress(d);
}

static bool any_run_waiting(const struct dispatch *d)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (taskrun_waiting(value))
			return true;
	return false;
}

bool dispatch_flushed(struct dispatch *d)
{
	if (any_run_waiting(d))
		return false;
	/* Claims in flight are read back first, so that the tasks they won can be returned. */
	if (g_hash_table_size(d->claiming) || jobs_next_offset(d->jobs) < d->claim_next_offset)
		return false;
	start_won_claims(d);
	/* The timer repeats progress that the log has not confirmed. */
	if (!d->unconfirmed_progress)
		on_progress(d);
	return !d->unconfirmed_progress;
}

void dispatch_destroy(struct dispatch *d)
{
	if (!d)
		return;
	if (d->tick_timer)
		g_source_remove(d->tick_timer);
	if (d->progress_timer)
		g_source_remove(d->progress_timer);
	if (d->work_source)
		g_source_remove(d->work_source);
	jobsapi_destroy(d);
	g_hash_table_destroy(d->runs);
	g_hash_table_destroy(d->unconfirmed_ends);
	g_hash_table_destroy(d->claiming);
	g_hash_table_destroy(d->appended_services);
	g_clear_pointer(&d->unconfirmed_progress, g_bytes_unref);
	jobs_destroy(d->jobs);
	g_free(d->self);
	g_free(d->stream);
	g_free(d);
}
