#include <glib.h>

#include "admission.h"

#define BURST_MS	   3000 /* of a team's rate; periodic variation is within half of 15 s */
#define BURST_JOBS_MIN	   6	/* a team of weight 1 may send a few jobs at once */
#define URGENT_DIVISOR	   4	/* 1/n of the bucket is left to jobs of priority 0 */
#define WAITING_MIN	   3	/* single jobs may wait for rare runners while there is room */
#define LIMIT_DIVISOR	   2	/* the rest of the time to wait is for variation */
#define RATE_OVER_MS	   1000 /* the rate of starts is a moving average */
#define SHORT_AFTER_DIV	   16	/* of the time to wait, so that single passes don't matter */
#define SHORT_AFTER_MIN_MS 150	/* several placement passes */
#define SHORT_UNTIL_MS	   1000 /* the first of the rejected callers return after that */
#define REPORT_MAX_AGE_MS  2000 /* passes follow each other within 1 s */
#define EXCESS_JOBS_FACTOR 10	/* excess beyond this many seconds of the rate is not counted */
#define CLASSES		   4	/* the last one is for all priorities from 3 on */

/* The jobs of one priority. */
struct class
{
	uint32_t waiting;
	int64_t spare_ms; /* sum over the waiting jobs */
	uint32_t started; /* since the last pass */
	double starts;	  /* in RATE_OVER_MS */
	struct admission_backlog backlog;
	bool is_short;
	int64_t since_ms; /* is_short ought to change since then; 0 if it ought not to */
};

/* The jobs of a pool, or of a team in a pool. */
struct group {
	struct class class[CLASSES];
};

struct team_rate {
	double tokens;
	double excess; /* jobs rejected, less those that the rate has made up for */
	int64_t filled_ms;
};

struct admission {
	GHashTable *group; /* of struct group, by pool and team; "" for all teams */
	GHashTable *rate;  /* of struct team_rate, by name */
	GString *key;	   /* buffer for keys of group */
	int64_t created_ms;
	int64_t reported_ms; /* end of the last pass */
};

struct admission *admission_create(int64_t now_ms)
{
	struct admission *a = g_new0(struct admission, 1);

	a->group = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->rate = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->key = g_string_new(NULL);
	a->created_ms = now_ms;
	return a;
}

void admission_destroy(struct admission *a)
{
	if (!a)
		return;
	g_hash_table_unref(a->group);
	g_hash_table_unref(a->rate);
	g_string_free(a->key, TRUE);
	g_free(a);
}

static struct group *find_group(struct admission *a, const char *pool, const char *team)
{
	g_string_assign(a->key, pool);
	g_string_append_c(a->key, '\n');
	g_string_append(a->key, team);
	return g_hash_table_lookup(a->group, a->key->str);
}

static struct class *get_class(struct admission *a, const char *pool, const char *team,
			       uint32_t priority)
{
	struct group *g = find_group(a, pool, team);

	if (!g) {
		g = g_new0(struct group, 1);
		g_hash_table_insert(a->group, g_strdup(a->key->str), g);
	}
	return &g->class[MIN(priority, CLASSES - 1)];
}

void admission_begin_pass(struct admission *a)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->group);
	while (g_hash_table_iter_next(&it, NULL, &value))
		for (int i = 0; i < CLASSES; i++) {
			struct class *c = &((struct group *)value)->class[i];

			c->waiting = 0;
			c->spare_ms = 0;
			c->started = 0;
		}
}

static void add_waiting(struct class *c, int64_t spare_ms)
{
	c->waiting++;
	c->spare_ms += MAX(spare_ms, 0);
}

void admission_add_waiting(struct admission *a, const char *pool, const char *team,
			   uint32_t priority, int64_t spare_ms, bool held_by_cap)
{
	if (!held_by_cap)
		add_waiting(get_class(a, pool, "", priority), spare_ms);
	if (*team)
		add_waiting(get_class(a, pool, team, priority), spare_ms);
}

void admission_add_started(struct admission *a, const char *pool, const char *team,
			   uint32_t priority)
{
	get_class(a, pool, "", priority)->started++;
	if (*team)
		get_class(a, pool, team, priority)->started++;
}

static void measure(struct class *c, int64_t elapsed_ms)
{
	double wait_ms;

	c->starts = c->starts * RATE_OVER_MS / (double)(RATE_OVER_MS + elapsed_ms) + c->started;
	wait_ms = c->waiting * RATE_OVER_MS / MAX(c->starts, 0.01);
	c->backlog = (struct admission_backlog){
		.waiting = c->waiting,
		.wait_ms = (uint32_t)MIN(wait_ms, INT32_MAX),
		.limit_ms = (uint32_t)(c->spare_ms / MAX(c->waiting, 1) / LIMIT_DIVISOR),
	};
}

/* A shortage begins at the limit, and ends below half of it. */
static bool is_too_long(const struct class *c)
{
	const struct admission_backlog *b = &c->backlog;

	return b->waiting >= WAITING_MIN && b->wait_ms > b->limit_ms / (c->is_short ? 2 : 1);
}

static void update(struct class *c, int64_t now_ms)
{
	bool ought = is_too_long(c);
	int64_t after_ms = (int64_t)c->backlog.limit_ms * LIMIT_DIVISOR / SHORT_AFTER_DIV;

	if (ought == c->is_short) {
		c->since_ms = 0;
		return;
	}
	if (!c->since_ms)
		c->since_ms = now_ms;
	if (now_ms - c->since_ms < (ought ? MAX(after_ms, SHORT_AFTER_MIN_MS) : SHORT_UNTIL_MS))
		return;
	c->is_short = ought;
	c->since_ms = 0;
}

static bool is_idle(const struct class *c)
{
	return !c->is_short && !c->waiting && c->starts < 0.01;
}

void admission_end_pass(struct admission *a, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->group);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct group *g = value;
		bool idle = true;

		for (int i = 0; i < CLASSES; i++) {
			measure(&g->class[i], now_ms - a->reported_ms);
			update(&g->class[i], now_ms);
			idle = idle && is_idle(&g->class[i]);
		}
		/* Teams and pools come and go with the configuration. */
		if (idle)
			g_hash_table_iter_remove(&it);
	}
	a->reported_ms = now_ms;
}

static double burst_jobs(uint32_t weight)
{
	return MAX((double)weight * BURST_MS / 1000, BURST_JOBS_MIN);
}

static struct team_rate *fill(struct admission *a, const struct admission_request *req,
			      int64_t now_ms)
{
	struct team_rate *r = g_hash_table_lookup(a->rate, req->team);
	double jobs;

	if (!r) {
		r = g_new0(struct team_rate, 1);
		r->tokens = burst_jobs(req->weight);
		r->filled_ms = now_ms;
		g_hash_table_insert(a->rate, g_strdup(req->team), r);
	}
	jobs = (double)req->weight * (double)MAX(now_ms - r->filled_ms, 0) / 1000;
	r->tokens = MIN(r->tokens + jobs, burst_jobs(req->weight));
	r->excess = MAX(r->excess - jobs, 0);
	r->filled_ms = MAX(r->filled_ms, now_ms);
	return r;
}

static bool is_above_rate(const struct team_rate *r, const struct admission_request *req)
{
	double kept = req->priority ? burst_jobs(req->weight) / URGENT_DIVISOR : 0;

	return r->tokens < 1 + kept;
}

static uint32_t retry_after_ms(struct team_rate *r, const struct admission_request *req)
{
	double return_ms;
	uint32_t spread;

	r->excess = MIN(r->excess + 1, (double)req->weight * EXCESS_JOBS_FACTOR);
	return_ms = r->excess * 1000 / req->weight;
	spread = (uint32_t)CLAMP(return_ms, ADMISSION_RETRY_MIN_MS,
				 ADMISSION_RETRY_MAX_MS - ADMISSION_RETRY_MIN_MS);
	return ADMISSION_RETRY_MIN_MS + g_str_hash(req->id) % (spread + 1);
}

/*
 * The first class that waits too long, of those that are as urgent as the job or more so; NULL for
 * none. Less urgent jobs that wait are protected by the order of placement: rejecting urgent jobs
 * that would be in time cost more than it gained.
 */
static const struct class *find_short(struct admission *a, const struct admission_request *req,
				      const char *team)
{
	const struct group *g = find_group(a, req->pool, team);

	for (uint32_t i = 0; g && i <= MIN(req->priority, CLASSES - 1); i++)
		if (g->class[i].is_short)
			return &g->class[i];
	return NULL;
}

static void find_cause(struct admission *a, const struct admission_request *req, int64_t now_ms,
		       struct admission_verdict *v)
{
	const struct class *team = find_short(a, req, req->team);
	const struct class *shortage = team ? team : find_short(a, req, "");

	if (!shortage || now_ms - a->created_ms < ADMISSION_WARMUP_MS ||
	    now_ms - a->reported_ms > REPORT_MAX_AGE_MS)
		return;
	v->cause = team ? ADMISSION_BACKLOG : ADMISSION_CAPACITY;
	v->backlog = shortage->backlog;
}

void admission_decide(struct admission *a, const struct admission_request *req, int64_t now_ms,
		      struct admission_verdict *v)
{
	struct admission_request r = *req;
	struct team_rate *rate;

	*v = (struct admission_verdict){ .cause = ADMISSION_ACCEPTED };
	if (!*req->team)
		return;
	r.weight = MAX(req->weight, 1);
	rate = fill(a, &r, now_ms);
	v->tokens_milli = (uint32_t)(rate->tokens * 1000);
	v->burst_milli = (uint32_t)(burst_jobs(r.weight) * 1000);
	if (is_above_rate(rate, &r))
		find_cause(a, &r, now_ms, v);
	if (v->cause == ADMISSION_ACCEPTED)
		rate->tokens = MAX(rate->tokens - 1, 0);
	else
		v->retry_after_ms = retry_after_ms(rate, &r);
	v->excess = (uint32_t)rate->excess;
}

const char *admission_cause_name(enum admission_cause cause)
{
	static const char *const names[] = { [ADMISSION_ACCEPTED] = "accepted",
					     [ADMISSION_CAPACITY] = "capacity",
					     [ADMISSION_BACKLOG] = "backlog" };

	return names[cause];
}
