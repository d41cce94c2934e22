#include "joblog.h"

#define SIDES	2
#define TICK_MS 6

/*
 * Explores every order of events of two coordinators that each consider the other gone: claim,
 * append (late, with a lost answer, or twice), read, start and look for orphans, while time passes.
 * The log has one job with one task. The first side's claim may arrive late and twice; the second
 * side looks for orphans and claims again. Guards against an attempt being started twice. A state
 * is reached by replaying its events.
 */
enum act { DO_CLAIM, DO_APPEND, DO_RESEND, DO_READ, DO_START, DO_ORPHANS, ACTS };
enum { WORLD_TICK = ACTS * SIDES, WORLD_END, WORLD_EVENTS };

#define LAST_TICK_MS 18
#define ATTEMPTS_MAX 5

struct side {
	struct jobs *jobs;
	GBytes *claim; /* last claim record */
	bool in_flight, resent;
	uint32_t claims;	 /* claims made */
	uint32_t claimed;	 /* last attempt that it claimed */
	uint32_t orphan_reports; /* progress records appended after a look for orphans */
	int64_t sent_ms;	 /* when its last claim was sent */
	int64_t read_ms;	 /* when the claim in force was read */
	struct job_start won;	 /* won and not yet started; count 0 for none */
};

struct race {
	struct side side[SIDES];
	GPtrArray *log;
	int64_t now_ms;
	uint32_t running, starter;
	bool started[ATTEMPTS_MAX + 1], ended[ATTEMPTS_MAX + 1];
	bool violated;
};

struct race_search {
	bool idempotent;
	GHashTable *seen;
	uint8_t path[64];
	size_t depth, states, starts, restarts; /* restarts: states with a later attempt running */
	bool violated;
};

static const char *const side_name[SIDES] = { "a/1", "b/1" };

static void race_init(struct race *r, bool idempotent)
{
	struct job_spec spec = spec_of(WORK_BATCH, 1, idempotent ? ATTEMPTS_MAX : 1);
	uint8_t *data;
	size_t size;

	memset(r, 0, sizeof(*r));
	r->log = new_log();
	data = jobs_record_submit(&spec, &size);
	append(r->log, data, size);
	for (int i = 0; i < SIDES; i++) {
		struct jobs_conf own = conf;

		own.self = side_name[i];
		r->side[i].jobs = jobs_create(&own);
		read_log(r->side[i].jobs, r->log, 0);
	}
}

static void race_clear(struct race *r)
{
	for (int i = 0; i < SIDES; i++) {
		jobs_destroy(r->side[i].jobs);
		g_bytes_unref(r->side[i].claim);
	}
	g_ptr_array_free(r->log, TRUE);
}

static bool append_progress(struct race *r, struct side *s)
{
	size_t size;
	uint8_t *data = jobs_record_progress(s->jobs, &size);

	if (data)
		append(r->log, data, size);
	return data;
}

static uint32_t attempt_of(const struct side *s)
{
	uint32_t attempt = 0;

	jobs_task_state(s->jobs, JOB, 0, &attempt);
	return attempt;
}

static void do_claim(struct race *r, int i)
{
	struct side *s = &r->side[i];
	uint32_t first, count, attempt;
	uint64_t nonce = (uint64_t)(i * 10) + ++s->claims;
	uint8_t *data;
	size_t size;

	jobs_unclaimed(s->jobs, JOB, 1, &first, &count, &attempt);
	data = jobs_record_claim(JOB, first, count, attempt, side_name[i], nonce, &size);
	g_bytes_unref(s->claim);
	s->claim = g_bytes_new_take(data, size);
	s->in_flight = i == 0;
	if (!s->in_flight)
		g_ptr_array_add(r->log, g_bytes_ref(s->claim));
	jobs_claim_sent(s->jobs, nonce, r->now_ms);
	s->sent_ms = r->now_ms;
	s->claimed = attempt;
}

static void do_start(struct race *r, int i)
{
	struct side *s = &r->side[i];
	uint32_t attempt = s->won.attempt;

	s->won.count = 0;
	if (r->now_ms >= s->won.use_until_ms) {
		jobs_task_ended(s->jobs, JOB, 0, attempt, OUTCOME_NOT_RUN, r->now_ms);
		append_progress(r, s);
		r->ended[attempt] = true;
		return;
	}
	if (r->started[attempt] || r->ended[attempt] || r->running)
		r->violated = true;
	r->started[attempt] = true;
	r->running = attempt;
	r->starter = (uint32_t)i;
}

struct orphan_ctx {
	struct race *race;
	struct side *side;
};

static bool other_is_gone(void *ctx, const char *daemon)
{
	const struct orphan_ctx *a = ctx;

	return strcmp(daemon, side_name[a->side - a->race->side]) != 0;
}

/* Ends an orphan unless the worker's inventory lists it as running. */
static void end_orphan(void *ctx, const struct job_spec *spec, uint32_t index, uint32_t attempt)
{
	const struct orphan_ctx *a = ctx;

	if (a->race->running == attempt)
		return;
	a->race->ended[attempt] = true;
	jobs_task_ended(a->side->jobs, JOB, 0, attempt, OUTCOME_UNKNOWN, a->race->now_ms);
}

static void do_side(struct race *r, enum act act, int i)
{
	struct side *s = &r->side[i];
	struct orphan_ctx orphan_ctx = { r, s };
	enum task_state before;
	uint32_t attempt;

	switch (act) {
	case DO_CLAIM:
		return do_claim(r, i);
	case DO_APPEND:
		s->in_flight = false;
		return g_ptr_array_add(r->log, g_bytes_ref(s->claim));
	case DO_RESEND:
		s->in_flight = true;
		s->resent = true;
		return jobs_claim_sent(s->jobs, (uint64_t)(i * 10) + s->claims, r->now_ms);
	case DO_READ:
		before = jobs_task_state(s->jobs, JOB, 0, &attempt);
		read_log(s->jobs, r->log, r->now_ms);
		if (before != TASK_CLAIMED || attempt != attempt_of(s))
			s->read_ms = r->now_ms;
		if (!s->won.count && !jobs_take_won_claim(s->jobs, &s->won, r->now_ms))
			append_progress(r, s);
		return;
	case DO_START:
		return do_start(r, i);
	default:
		jobs_each_orphan(s->jobs, other_is_gone, end_orphan, &orphan_ctx, r->now_ms);
		s->orphan_reports += append_progress(r, s);
	}
}

static void race_play(struct race *r, uint8_t event)
{
	struct side *s = &r->side[r->starter];

	if (event < WORLD_TICK)
		return do_side(r, (enum act)(event / SIDES), event % SIDES);
	if (event == WORLD_TICK) {
		r->now_ms += TICK_MS;
		return;
	}
	jobs_task_ended(s->jobs, JOB, 0, r->running, OUTCOME_FAILED, r->now_ms);
	append_progress(r, s);
	r->ended[r->running] = true;
	r->running = 0;
}

static bool race_possible(const struct race *r, uint8_t event)
{
	const struct side *s = &r->side[event % SIDES];
	uint32_t first, count, attempt;

	if (event == WORLD_TICK)
		return r->now_ms < LAST_TICK_MS;
	if (event == WORLD_END)
		return r->running;
	switch ((enum act)(event / SIDES)) {
	case DO_CLAIM:
		return s->claims <= (uint32_t)event % SIDES && s->claimed < attempt_of(s) &&
		       !s->in_flight && jobs_unclaimed(s->jobs, JOB, 1, &first, &count, &attempt);
	case DO_APPEND:
		return s->in_flight;
	case DO_RESEND:
		return s == &r->side[0] && s->claims && !s->in_flight && !s->resent &&
		       r->now_ms == TICK_MS;
	case DO_READ:
		return jobs_next_offset(s->jobs) < r->log->len;
	case DO_START:
		return s->won.count;
	default:
		return s != &r->side[0] && !s->orphan_reports &&
		       jobs_task_state(s->jobs, JOB, 0, NULL) == TASK_CLAIMED;
	}
}

/* Encodes everything that the possible next events depend on. */
static char *race_code(const struct race *r)
{
	GString *code = g_string_new(NULL);
	uint64_t read = r->log->len;

	for (int i = 0; i < SIDES; i++) {
		const struct side *s = &r->side[i];
		uint64_t left = r->log->len - jobs_next_offset(s->jobs);
		enum task_state state = jobs_task_state(s->jobs, JOB, 0, NULL);

		read = MIN(read, jobs_next_offset(s->jobs));
		g_string_append_printf(code, "%u %d%d%u%u%u%u ", (unsigned int)left, s->in_flight,
				       s->resent, s->claims, s->claimed, s->orphan_reports,
				       s->won.count);
		g_string_append_printf(code, "%d %d.%u %d ", (int)s->sent_ms, state, attempt_of(s),
				       state == TASK_CLAIMED ? (int)s->read_ms : 0);
		if (s->won.count)
			g_string_append_printf(code, "%u until %d ", s->won.attempt,
					       (int)s->won.use_until_ms);
	}
	for (guint i = (guint)read; i < r->log->len; i++)
		g_string_append_printf(code, "%x ", g_bytes_hash(g_ptr_array_index(r->log, i)));
	g_string_append_printf(code, "%d %u %u ", (int)r->now_ms, r->running, r->starter);
	for (int i = 1; i <= ATTEMPTS_MAX; i++)
		g_string_append_printf(code, "%d%d", r->started[i], r->ended[i]);
	return g_string_free(code, FALSE);
}

static void race_replay(const struct race_search *s, struct race *r)
{
	race_init(r, s->idempotent);
	for (size_t i = 0; i < s->depth; i++)
		race_play(r, s->path[i]);
}

static void race_explore(struct race_search *s)
{
	struct race r;

	race_replay(s, &r);
	s->states++;
	s->starts += r.running != 0;
	s->restarts += r.running > 1;
	s->violated =
		r.violated || (!s->idempotent && r.started[1] + r.started[2] + r.started[3] > 1);
	for (uint8_t e = 0; e < WORLD_EVENTS && !s->violated; e++) {
		struct race next;

		if (!race_possible(&r, e))
			continue;
		s->path[s->depth++] = e;
		race_replay(s, &next);
		if (g_hash_table_add(s->seen, race_code(&next)))
			race_explore(s);
		race_clear(&next);
		s->depth -= !s->violated;
	}
	race_clear(&r);
}

Test(jobrace, no_attempt_is_started_twice_in_any_order)
{
	for (int i = 0; i < 2; i++) {
		struct race_search s = { .idempotent = i };

		s.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		race_explore(&s);
		cr_log_info("%zu states, %zu with a start", s.states, s.starts);
		for (size_t k = 0; s.violated && k < s.depth; k++)
			cr_log_error("event %d of side %d", s.path[k] / SIDES, s.path[k] % SIDES);
		cr_expect_not(s.violated, "invariant violated after %zu states", s.states);
		cr_expect_gt(s.starts, 1000);
		cr_expect(s.restarts > 100 || !s.idempotent);
		g_hash_table_destroy(s.seen);
	}
}
