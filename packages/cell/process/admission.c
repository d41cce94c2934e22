#include <glib.h>

#include "admission.h"

#define BURST_MS	   3000 /* of a team's rate; periodic variation is within half of 15 s */
#define BURST_JOBS_MIN	   6	/* a team of weight 1 may send a few jobs at once */
#define URGENT_DIVISOR	   4	/* 1/n of the bucket is left to jobs of priority 0 */
#define POOL_PRESSED_MIN   3	/* single jobs may wait for rare runners while there is room */
#define TEAM_PRESSED_MIN   2
#define PRESSED_DIVISOR	   4	/* 1/n of the waiting jobs */
#define SHORT_AFTER_MS	   150	/* several placement passes; half of an urgent job's time to wait */
#define SHORT_UNTIL_MS	   1000 /* the first of the rejected callers return after that */
#define REPORT_MAX_AGE_MS  2000 /* passes follow each other within 1 s */
#define EXCESS_JOBS_FACTOR 10	/* excess beyond this many seconds of the rate is not counted */

/* Whether jobs wait too long, with hysteresis. */
struct shortage {
	struct admission_backlog counting; /* in the pass that is being reported */
	struct admission_backlog last;	   /* of the last pass */
	bool is_short;
	int64_t since_ms; /* the state ought to change since then; 0 if it ought not to */
};

struct team_rate {
	double tokens;
	double excess; /* jobs rejected, less those that the rate has made up for */
	int64_t filled_ms;
};

struct admission {
	GHashTable *pool;    /* of struct shortage, by name */
	GHashTable *backlog; /* of struct shortage, by pool and team */
	GHashTable *rate;    /* of struct team_rate, by name */
	GString *key;	     /* buffer for keys of backlog */
	int64_t created_ms;
	int64_t reported_ms; /* end of the last pass */
};

struct admission *admission_create(int64_t now_ms)
{
	struct admission *a = g_new0(struct admission, 1);

	a->pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->backlog = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->rate = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->key = g_string_new(NULL);
	a->created_ms = now_ms;
	return a;
}

void admission_destroy(struct admission *a)
{
	if (!a)
		return;
	g_hash_table_unref(a->pool);
	g_hash_table_unref(a->backlog);
	g_hash_table_unref(a->rate);
	g_string_free(a->key, TRUE);
	g_free(a);
}

static const char *backlog_key(struct admission *a, const char *pool, const char *team)
{
	g_string_printf(a->key, "%s\n%s", pool, team);
	return a->key->str;
}

static void reset_count(gpointer key, gpointer value, gpointer unused)
{
	((struct shortage *)value)->counting = (struct admission_backlog){ 0 };
}

void admission_begin_pass(struct admission *a)
{
	g_hash_table_foreach(a->pool, reset_count, NULL);
	g_hash_table_foreach(a->backlog, reset_count, NULL);
}

static void count(GHashTable *table, const char *key, bool pressed)
{
	struct shortage *s = g_hash_table_lookup(table, key);

	if (!s) {
		s = g_new0(struct shortage, 1);
		g_hash_table_insert(table, g_strdup(key), s);
	}
	s->counting.waiting++;
	s->counting.pressed += pressed;
}

void admission_add_waiting(struct admission *a, const char *pool, const char *team, bool pressed)
{
	count(a->pool, pool, pressed);
	if (*team)
		count(a->backlog, backlog_key(a, pool, team), pressed);
}

static bool exceeds(const struct admission_backlog *b, uint32_t jobs_min, uint32_t factor)
{
	return b->pressed * factor >= jobs_min &&
	       b->pressed * factor * PRESSED_DIVISOR >= b->waiting && b->pressed;
}

/* A shortage begins at the thresholds, and ends below half of them. */
static void update(struct shortage *s, uint32_t jobs_min, int64_t now_ms)
{
	bool ought = exceeds(&s->counting, jobs_min, s->is_short ? 2 : 1);

	s->last = s->counting;
	if (ought == s->is_short) {
		s->since_ms = 0;
		return;
	}
	if (!s->since_ms)
		s->since_ms = now_ms;
	if (now_ms - s->since_ms < (ought ? SHORT_AFTER_MS : SHORT_UNTIL_MS))
		return;
	s->is_short = ought;
	s->since_ms = 0;
}

/* Teams and pools come and go with the configuration. */
static void update_all(GHashTable *table, uint32_t jobs_min, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct shortage *s = value;

		update(s, jobs_min, now_ms);
		if (!s->is_short && !s->since_ms && !s->last.waiting)
			g_hash_table_iter_remove(&it);
	}
}

void admission_end_pass(struct admission *a, int64_t now_ms)
{
	update_all(a->pool, POOL_PRESSED_MIN, now_ms);
	update_all(a->backlog, TEAM_PRESSED_MIN, now_ms);
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

static enum admission_cause find_cause(struct admission *a, const struct admission_request *req,
				       int64_t now_ms, struct admission_verdict *v)
{
	const struct shortage *pool = g_hash_table_lookup(a->pool, req->pool);
	const struct shortage *team =
		g_hash_table_lookup(a->backlog, backlog_key(a, req->pool, req->team));

	if (pool)
		v->pool = pool->last;
	if (team)
		v->team = team->last;
	if (now_ms - a->created_ms < ADMISSION_WARMUP_MS ||
	    now_ms - a->reported_ms > REPORT_MAX_AGE_MS)
		return ADMISSION_ACCEPTED;
	if (team && team->is_short)
		return ADMISSION_BACKLOG;
	return pool && pool->is_short ? ADMISSION_CAPACITY : ADMISSION_ACCEPTED;
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
		v->cause = find_cause(a, &r, now_ms, v);
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
