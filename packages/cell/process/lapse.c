#include "lapse.h"

#define MISSES_MIN  2	 /* polls in a row without a reply; single ones get lost */
#define UNLISTED_MS 1000 /* the list of runners is read by then */
#define RESTATE_MS  500	 /* between records, in which less and less is left */

/* A lapsing runner. It may have restarted, or may not be known to this scheduler. */
struct lapsing {
	char *runner;
	int64_t incarnation_ms;
	int64_t end_ms;
	bool named;		/* in the newest record that was written */
	uint64_t resumed_batch; /* if not: the batch since which it isn't named */
};

static void lapsing_free(gpointer data)
{
	struct lapsing *l = data;

	g_free(l->runner);
	g_free(l);
}

static void add(struct scheduler *s, const struct lease_end *end)
{
	struct lapsing *l = g_new0(struct lapsing, 1);

	l->runner = g_strdup(end->runner);
	l->incarnation_ms = end->incarnation_ms;
	l->end_ms = end->end_ms;
	l->named = true;
	g_hash_table_replace(s->lapsing, l->runner, l);
}

static void inherit(void *ctx, const struct lease_end *end)
{
	add(ctx, end);
}

void lapse_init(struct scheduler *s, const struct lease_ends *ends)
{
	s->lapsing = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lapsing_free);
	lease_ends_each(ends, inherit, s);
	/* Less is left now than the record says. */
	s->lapse_due = g_hash_table_size(s->lapsing) > 0;
}

void lapse_clear(struct scheduler *s)
{
	g_hash_table_unref(s->lapsing);
}

void lapse_add_runner(struct scheduler *s, struct cell_runner *rn)
{
	rn->lapsing = g_hash_table_contains(s->lapsing, rn->id);
}

int64_t lapse_inherited_end_ms(const struct scheduler *s, const struct cell_runner *rn)
{
	const struct lapsing *l = g_hash_table_lookup(s->lapsing, rn->id);

	if (!l || rn->incarnation_ms > l->incarnation_ms)
		return s->inherited_until_ms;
	return MIN(s->inherited_until_ms, l->end_ms);
}

static bool answers(const struct cell_runner *rn)
{
	return rn->contacted && rn->misses == 0;
}

/* The next scheduler would wait for the runs of this runner. */
static bool is_silent(const struct scheduler *s, const struct cell_runner *rn)
{
	bool unlisted = !rn->address && s->now_ms >= s->created_ms + UNLISTED_MS;

	return rn->runs->len && !cell_runner_leases_lapsed(rn, s->now_ms) &&
	       (rn->misses >= MISSES_MIN || unlisted);
}

/* A node that has just started counts what is left from its own reading of the record. */
static int64_t restate_ms(const struct scheduler *s, const struct cell_runner *rn)
{
	return rn->runs->len ? s->lapse_sent_ms + RESTATE_MS : INT64_MAX;
}

int64_t lapse_check(struct scheduler *s, const struct cell_runner *rn, int64_t next_ms)
{
	const struct lapsing *l = rn->lapsing ? g_hash_table_lookup(s->lapsing, rn->id) : NULL;
	int64_t listed_ms = s->created_ms + UNLISTED_MS;

	if (l && l->named) {
		s->lapse_due = s->lapse_due || answers(rn) || restate_ms(s, rn) <= s->now_ms;
		next_ms = MIN(next_ms, restate_ms(s, rn));
	} else {
		s->lapse_due = s->lapse_due || (is_silent(s, rn) && !s->lapse_full);
	}
	return !rn->address && rn->runs->len && s->now_ms < listed_ms ? MIN(next_ms, listed_ms)
								      : next_ms;
}

static bool stays_named(const struct scheduler *s, const struct cell_runner *rn)
{
	const struct lapsing *l = rn->lapsing ? g_hash_table_lookup(s->lapsing, rn->id) : NULL;

	return l && l->named && rn->runs->len && !answers(rn);
}

/* The runners that the next record names. */
static GArray *find_silent(struct scheduler *s)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct lease_end));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->runners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cell_runner *rn = value;
		const struct lease_end end = { .runner = rn->id,
					       .incarnation_ms = rn->incarnation_ms,
					       .end_ms = rn->granted_until_ms };

		if (stays_named(s, rn) || is_silent(s, rn))
			g_array_append_val(ends, end);
	}
	return ends;
}

/* The other lapsing runners get leases again once the batch is stored. */
static void resume_others(struct scheduler *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->lapsing);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct lapsing *l = value;

		if (l->named)
			l->resumed_batch = s->batch_next;
		l->named = false;
	}
}

static void mark_named(struct scheduler *s, const GArray *ends, guint named)
{
	for (guint i = 0; i < named; i++) {
		const struct lease_end *end = &g_array_index(ends, struct lease_end, i);
		struct cell_runner *rn = g_hash_table_lookup(s->runners, end->runner);

		if (!rn->lapsing)
			scheduler_report_runner(s, DECISION_LEASE_LAPSING, rn,
						end->end_ms - s->now_ms);
		rn->lapsing = true;
		add(s, end);
	}
}

void lapse_write(struct scheduler *s, GPtrArray *records)
{
	g_autoptr(GArray) ends = NULL;
	struct log_record *r;
	guint named = 0;

	if (!s->lapse_due)
		return;
	s->lapse_due = false;
	s->lapse_sent_ms = s->now_ms;
	ends = find_silent(s);
	if (!ends->len && !g_hash_table_size(s->lapsing))
		return;
	r = g_new0(struct log_record, 1);
	r->key = g_strdup(LEASE_ENDS_KEY);
	if (ends->len)
		r->value = lease_ends_pack(ends, s->conf.term, s->batch_next, s->now_ms, &named,
					   &r->size);
	g_ptr_array_add(records, r);
	s->lapse_full = named < ends->len;
	resume_others(s);
	mark_named(s, ends, named);
}

void lapse_written(struct scheduler *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->lapsing);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct lapsing *l = value;
		struct cell_runner *rn;

		if (l->named || l->resumed_batch > s->batch_acked)
			continue;
		rn = g_hash_table_lookup(s->runners, l->runner);
		if (rn) {
			rn->lapsing = false;
			rn->next_poll_ms = MIN(rn->next_poll_ms, s->now_ms);
			if (rn->contacted)
				scheduler_report_runner(s, DECISION_LEASE_RESUMED, rn,
							s->now_ms - rn->answered_ms);
		}
		g_hash_table_iter_remove(&it);
	}
}
