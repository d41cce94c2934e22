#include <string.h>

#include <glib.h>
#include <jobs.pb-c.h>

#include "jobtable.h"

#define PPM 1000000
/* Outcomes in one record, so that it stays under JOBS_RECORD_MAX_BYTES. */
#define PROGRESS_ENDS_MAX 16384

static int64_t drift_ms(const struct jobs *j)
{
	return (int64_t)j->conf.claim_use_ms * j->conf.drift_ppm / PPM;
}

/* Time from which a claim that was read at read_ms is certainly not acted on any more. */
static int64_t claim_expiry_ms(const struct jobs *j, int64_t read_ms)
{
	return read_ms + j->conf.claim_use_ms + drift_ms(j) + 1;
}

/* True for a sent claim that can't be acted on any more. */
static gboolean is_unusable(gpointer key, gpointer value, gpointer ctx)
{
	const int64_t *sent_ms = value;
	const int64_t *oldest_ms = ctx;

	return *sent_ms < *oldest_ms;
}

void jobs_claim_sent(struct jobs *j, uint64_t nonce, int64_t now_ms)
{
	int64_t key = (int64_t)nonce;
	int64_t oldest_ms = now_ms - j->conf.claim_use_ms;

	g_hash_table_foreach_remove(j->sent_claims, is_unusable, &oldest_ms);
	if (g_hash_table_contains(j->sent_claims, &key))
		return;
	g_hash_table_insert(j->sent_claims, g_memdup2(&key, sizeof(key)),
			    g_memdup2(&now_ms, sizeof(now_ms)));
}

struct claim_ctx {
	struct jobs *jobs;
	struct job *job;
	uint32_t attempt;
	uint32_t daemon;
	bool is_own;
	int64_t read_ms;
	int64_t use_until_ms;
};

static void claim_range(struct task_range *r, uint32_t count, void *ctx)
{
	struct claim_ctx *c = ctx;
	struct won_claim won = { .job = c->job,
				 .first = r->first,
				 .count = count,
				 .attempt = c->attempt,
				 .use_until_ms = c->use_until_ms };

	if (r->state != TASK_WAITING || r->attempt != c->attempt)
		return;
	r->state = TASK_CLAIMED;
	r->daemon = c->daemon;
	r->read_ms = c->read_ms;
	if (c->is_own)
		g_array_append_val(c->jobs->won_claims, won);
}

void jobclaims_apply(struct jobs *j, struct job *job, const struct job_start *claim,
		     const char *daemon, uint64_t nonce, int64_t now_ms)
{
	int64_t key = (int64_t)nonce;
	const int64_t *sent_ms = g_hash_table_lookup(j->sent_claims, &key);
	struct claim_ctx c = { .jobs = j,
			       .job = job,
			       .attempt = claim->attempt,
			       .daemon = jobtable_daemon_handle(j, daemon),
			       .is_own = strcmp(daemon, j->self) == 0,
			       .read_ms = now_ms,
			       .use_until_ms = INT64_MIN };

	if (sent_ms)
		c.use_until_ms = *sent_ms + j->conf.claim_use_ms - drift_ms(j);
	if (claim->first < job->spec.tasks)
		task_ranges_change(&job->tasks, claim->first,
				   MIN(claim->count, job->spec.tasks - claim->first), claim_range,
				   &c);
	if (c.is_own)
		g_hash_table_remove(j->sent_claims, &key);
}

struct end_ctx {
	const struct job *job;
	uint32_t attempt;
	enum outcome outcome;
	int64_t read_ms; /* when the outcome was read if the next attempt must wait, else 0 */
};

static bool is_retried(const struct end_ctx *c, const struct task_range *r)
{
	const struct job_spec *spec = &c->job->spec;

	if (c->job->cancelled || r->first >= spec->tasks)
		return false;
	if (c->outcome == OUTCOME_NOT_RUN || spec->class == WORK_SERVICE)
		return true;
	return c->outcome != OUTCOME_DONE && spec->idempotent && r->failures < spec->attempts;
}

static enum task_state end_state(const struct end_ctx *c, const struct task_range *r)
{
	const struct job_spec *spec = &c->job->spec;

	if (is_retried(c, r))
		return TASK_WAITING;
	if (c->outcome == OUTCOME_DONE || (spec->class == WORK_SERVICE && !c->job->cancelled))
		return TASK_DONE;
	if (c->outcome == OUTCOME_UNKNOWN && !spec->idempotent)
		return TASK_UNKNOWN;
	return TASK_FAILED;
}

/* Tasks of services are restarted without limit, so their failures are not counted. */
static void end_range(struct task_range *r, uint32_t count, void *ctx)
{
	struct end_ctx *c = ctx;
	bool in_flight = r->state == TASK_CLAIMED || r->state == TASK_RUNNING;
	bool resolved = r->state == TASK_UNKNOWN && c->outcome != OUTCOME_NOT_RUN;

	if (r->attempt != c->attempt || (!in_flight && !resolved))
		return;
	if (c->job->spec.class != WORK_SERVICE && c->outcome != OUTCOME_NOT_RUN)
		r->failures = (uint16_t)MIN(r->failures + 1, UINT16_MAX);
	r->state = (uint8_t)end_state(c, r);
	if (r->state == TASK_WAITING)
		r->attempt++;
	r->read_ms = r->state == TASK_WAITING ? c->read_ms : 0;
	r->daemon = 0;
}

void jobclaims_end(const struct jobs *j, struct job *job, uint32_t first, uint32_t count,
		   uint32_t attempt, enum outcome out)
{
	struct end_ctx c = { .job = job, .attempt = attempt, .outcome = out };
	uint32_t wanted = first < job->spec.tasks ? MIN(count, job->spec.tasks - first) : 0;

	if (out == OUTCOME_NONE)
		return;
	if (out == OUTCOME_UNKNOWN && j->conf.settle_ms)
		c.read_ms = j->now_ms;
	/* Two calls, so that no range extends across the count of a service. */
	task_ranges_change(&job->tasks, first, wanted, end_range, &c);
	task_ranges_change(&job->tasks, first + wanted, count - wanted, end_range, &c);
}

static void start_range(struct task_range *r, uint32_t count, void *ctx)
{
	const uint32_t *attempt = ctx;

	if (r->state != TASK_CLAIMED || r->attempt != *attempt)
		return;
	r->state = TASK_RUNNING;
	r->read_ms = 0;
}

void jobs_task_started(struct jobs *j, const char *id, uint32_t index, uint32_t attempt)
{
	struct job *job = jobtable_find(j, id);

	if (job)
		task_ranges_change(&job->tasks, index, 1, start_range, &attempt);
}

void jobs_task_ended(struct jobs *j, const char *id, uint32_t index, uint32_t attempt,
		     enum outcome out, int64_t now_ms)
{
	struct task_end e = { .index = index, .attempt = attempt, .outcome = out };

	if (uuid7_parse(id, e.id))
		g_array_append_val(j->pending_ends, e);
}

bool jobs_take_won_claim(struct jobs *j, struct job_start *start, int64_t now_ms)
{
	j->now_ms = MAX(j->now_ms, now_ms);
	while (j->won_claims->len) {
		struct won_claim won = g_array_index(j->won_claims, struct won_claim, 0);

		g_array_remove_index(j->won_claims, 0);
		if (now_ms < won.use_until_ms && !won.job->cancelled) {
			*start = (struct job_start){ .spec = &won.job->spec,
						     .first = won.first,
						     .count = won.count,
						     .attempt = won.attempt,
						     .use_until_ms = won.use_until_ms };
			return true;
		}
		for (uint32_t i = 0; i < won.count; i++)
			jobs_task_ended(j, won.job->spec.id, won.first + i, won.attempt,
					OUTCOME_NOT_RUN, now_ms);
	}
	return false;
}

static bool is_settled(const struct jobs *j, const struct task_range *r)
{
	return !r->read_ms || j->now_ms >= r->read_ms + j->conf.settle_ms;
}

bool jobs_unclaimed(const struct jobs *j, const char *id, uint32_t max, uint32_t *first,
		    uint32_t *count, uint32_t *attempt)
{
	const struct job *job = jobtable_find(j, id);

	if (!job || job->cancelled || !max)
		return false;
	for (uint32_t i = 0; i < job->tasks.n; i++) {
		const struct task_range *r = &job->tasks.range[i];

		if (r->first >= job->spec.tasks)
			return false;
		if (r->state != TASK_WAITING || !is_settled(j, r))
			continue;
		*first = r->first;
		*count = MIN(task_ranges_length(&job->tasks, i), job->spec.tasks - r->first);
		*count = MIN(*count, max);
		*attempt = r->attempt;
		return true;
	}
	return false;
}

struct orphan_ctx {
	bool (*gone)(void *ctx, const char *daemon);
	void (*fn)(void *ctx, const struct job_spec *spec, uint32_t index, uint32_t attempt);
	void *ctx;
	int64_t now_ms;
};

static void each_orphan_of(struct jobs *j, const struct job *job, const struct orphan_ctx *c)
{
	for (uint32_t i = 0; i < job->tasks.n; i++) {
		const struct task_range *r = &job->tasks.range[i];
		uint32_t count = task_ranges_length(&job->tasks, i);

		if (r->state != TASK_CLAIMED && r->state != TASK_RUNNING)
			continue;
		if (c->now_ms < claim_expiry_ms(j, r->read_ms))
			continue;
		if (!c->gone(c->ctx, jobtable_daemon_name(j, r->daemon)))
			continue;
		for (uint32_t k = 0; k < count; k++)
			c->fn(c->ctx, &job->spec, r->first + k, r->attempt);
	}
}

void jobs_each_orphan(struct jobs *j, bool (*gone)(void *ctx, const char *daemon),
		      void (*fn)(void *ctx, const struct job_spec *spec, uint32_t index,
				 uint32_t attempt),
		      void *ctx, int64_t now_ms)
{
	struct orphan_ctx c = { .gone = gone, .fn = fn, .ctx = ctx, .now_ms = now_ms };

	j->now_ms = MAX(j->now_ms, now_ms);
	for (const GList *i = j->live.head; i; i = i->next)
		each_orphan_of(j, i->data, &c);
}

static gint by_task(gconstpointer a, gconstpointer b)
{
	const struct task_end *x = a;
	const struct task_end *y = b;
	int order = memcmp(x->id, y->id, sizeof(x->id));

	if (order)
		return order;
	if (x->index != y->index)
		return x->index < y->index ? -1 : 1;
	return x->attempt < y->attempt ? -1 : x->attempt > y->attempt;
}

/* True if b is the task after the last of a and has the same attempt and outcome. */
static bool is_next(const Kwjobs__End *a, const struct task_end *b)
{
	return b->index == a->first + a->count && b->attempt == a->attempt &&
	       b->outcome == a->outcome;
}

static Kwjobs__End *new_end(const struct task_end *e)
{
	Kwjobs__End *out = g_new(Kwjobs__End, 1);

	kwjobs__end__init(out);
	out->first = e->index;
	out->count = 1;
	out->attempt = e->attempt;
	out->outcome = e->outcome;
	return out;
}

/* Coalesces the outcomes of one job from index i; returns the index after its last. */
static guint job_ends(struct task_end *all, guint i, guint n, GPtrArray *ends)
{
	struct task_end *first = &all[i];
	Kwjobs__End *last = NULL;

	for (; i < n && memcmp(all[i].id, first->id, UUID7_BYTES) == 0; i++) {
		if (last && is_next(last, &all[i])) {
			last->count++;
			continue;
		}
		last = new_end(&all[i]);
		g_ptr_array_add(ends, last);
	}
	return i;
}

static void free_job_ends(gpointer p)
{
	Kwjobs__JobEnds *ends = p;

	for (size_t i = 0; i < ends->n_end; i++)
		g_free(ends->end[i]);
	g_free(ends->end);
	g_free(ends);
}

static Kwjobs__JobEnds *new_job_ends(struct task_end *all, guint *i, guint n)
{
	Kwjobs__JobEnds *out = g_new(Kwjobs__JobEnds, 1);
	GPtrArray *ends = g_ptr_array_new();

	kwjobs__job_ends__init(out);
	out->id.data = all[*i].id;
	out->id.len = UUID7_BYTES;
	*i = job_ends(all, *i, n, ends);
	out->n_end = ends->len;
	out->end = (Kwjobs__End **)g_ptr_array_free(ends, FALSE);
	return out;
}

uint8_t *jobs_record_progress(struct jobs *j, size_t *size)
{
	Kwjobs__JobRecord record = KWJOBS__JOB_RECORD__INIT;
	Kwjobs__Progress progress = KWJOBS__PROGRESS__INIT;
	g_autoptr(GPtrArray) all = g_ptr_array_new_with_free_func(free_job_ends);
	struct task_end *ends = (struct task_end *)(void *)j->pending_ends->data;
	guint n = MIN(j->pending_ends->len, PROGRESS_ENDS_MAX);
	uint8_t *data;

	if (!n)
		return NULL;
	g_array_sort(j->pending_ends, by_task);
	for (guint i = 0; i < n;)
		g_ptr_array_add(all, new_job_ends(ends, &i, n));
	progress.n_job = all->len;
	progress.job = (Kwjobs__JobEnds **)all->pdata;
	record.body_case = KWJOBS__JOB_RECORD__BODY_PROGRESS;
	record.progress = &progress;
	data = jobrecord_pack(&record, size);
	g_array_remove_range(j->pending_ends, 0, n);
	return data;
}
