#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>

#include "process/admission.h"

#define STEP_MS	 5
#define PASS_MS	 20
#define SPARE_MS 1000	/* that each waiting job could wait: 500 ms are too long for it */
#define BEGIN_MS 100000 /* the load begins after the warm-up */

/* The load of one team, and what placement passes report meanwhile. */
struct load_case {
	const char *what;
	const char *team;
	const char *pool;
	uint32_t weight;
	uint32_t rate_milli; /* of the weight, in 1/1000 */
	uint32_t priority;
	int64_t seconds;
	/* Jobs that are reported as waiting between short_at_ms and short_until_ms. */
	int64_t short_at_ms;
	int64_t short_until_ms;
	uint32_t waiting;
	const char *waiting_team; /* "" for jobs without one */
	uint32_t starts_s;	  /* of jobs of waiting_team, a second */
	uint32_t other_starts_s;  /* of jobs of "more", a second */
	/* Expected share of rejected jobs, in 1/1000. */
	uint32_t least_milli;
	uint32_t most_milli;
	uint32_t waiting_priority;
	bool held_by_cap;
};

/* Starts between the last pass and this one, of so many a second. */
static uint32_t starts(uint32_t per_s, int64_t ms)
{
	return (uint32_t)(ms * per_s / 1000 - MAX(ms - PASS_MS, 0) * per_s / 1000);
}

static void report(struct admission *a, const struct load_case *c, int64_t ms)
{
	bool is_short = ms >= c->short_at_ms && ms < c->short_until_ms;

	admission_begin_pass(a);
	for (uint32_t i = 0; is_short && i < c->waiting; i++)
		admission_add_waiting(a, "p", c->waiting_team, c->waiting_priority, SPARE_MS,
				      c->held_by_cap);
	for (uint32_t i = starts(c->starts_s, ms); i > 0; i--)
		admission_add_started(a, "p", c->waiting_team, c->waiting_priority);
	for (uint32_t i = starts(c->other_starts_s, ms); i > 0; i--)
		admission_add_started(a, "p", "more", c->waiting_priority);
	admission_end_pass(a, BEGIN_MS + ms);
}

/* Returns the share of rejected jobs. */
static uint32_t play(const struct load_case *c)
{
	struct admission *a = admission_create(BEGIN_MS - ADMISSION_WARMUP_MS);
	uint32_t sent = 0;
	uint32_t rejected = 0;

	for (int64_t ms = 0; ms < c->seconds * 1000; ms += STEP_MS) {
		if (ms % PASS_MS == 0)
			report(a, c, ms);
		for (; (int64_t)sent * 1000000 < ms * c->weight * c->rate_milli; sent++) {
			struct admission_request req = { .team = c->team,
							 .pool = c->pool,
							 .weight = c->weight,
							 .priority = c->priority };
			struct admission_verdict v;
			char id[17];

			snprintf(id, sizeof(id), "%016x", sent);
			req.id = id;
			admission_decide(a, &req, BEGIN_MS + ms, &v);
			rejected += v.cause != ADMISSION_ACCEPTED;
		}
	}
	admission_destroy(a);
	return rejected * 1000 / MAX(sent, 1);
}

/*
 * One of 20 teams sent 6.5 times its usual for 6 s while urgent jobs burst twofold; all of it was
 * accepted, and the jobs of the other teams were late with it.
 */
Test(admission, share_of_rejected_jobs)
{
	static const struct load_case cases[] = {
		{ "6.5 times the rate, 40 jobs wait and 50 a second start", "hot", "p", 4, 6500, 1,
		  6, 500, 9000, 40, "other", 50, 0, 600, 850 },
		{ "the same, urgent jobs", "hot", "p", 4, 6500, 0, 6, 500, 9000, 40, "other", 50, 0,
		  500, 800 },
		{ "the same, a large team", "hot", "p", 12, 6500, 1, 6, 500, 9000, 40, "other", 50,
		  0, 600, 850 },
		{ "nothing starts", "hot", "p", 4, 6500, 1, 6, 500, 9000, 40, "other", 0, 0, 600,
		  850 },
		{ "nothing waits", "hot", "p", 4, 6500, 1, 6, 500, 9000, 0, "other", 50, 0, 0, 0 },
		{ "many jobs wait, but not for long", "hot", "p", 4, 6500, 1, 6, 500, 9000, 200,
		  "other", 1000, 0, 0, 0 },
		{ "two jobs wait for rare runners", "hot", "p", 4, 6500, 1, 6, 500, 9000, 2,
		  "other", 0, 50, 0, 0 },
		{ "one pass reports a shortage", "hot", "p", 4, 6500, 1, 6, 500, 520, 40, "other",
		  50, 0, 0, 0 },
		{ "twice the urgent jobs in another team at its rate", "other", "p", 4, 1000, 0, 6,
		  500, 9000, 40, "hot", 50, 0, 0, 0 },
		{ "twice the rate for 2 s", "other", "p", 4, 2000, 0, 2, 0, 9000, 40, "hot", 50, 0,
		  0, 0 },
		{ "a team of weight 1 sends 5 jobs in a second", "other", "p", 1, 5000, 1, 1, 0,
		  9000, 40, "hot", 50, 0, 0, 0 },
		{ "another pool is short", "hot", "q", 4, 6500, 1, 6, 500, 9000, 40, "other", 50, 0,
		  0, 0 },
		{ "only the team's own jobs wait", "hot", "p", 4, 6500, 1, 6, 500, 9000, 8, "hot",
		  5, 500, 600, 850 },
		{ "as few jobs of another team wait", "hot", "p", 4, 6500, 1, 6, 500, 9000, 8,
		  "other", 5, 500, 0, 0 },
		{ "less urgent jobs wait", "hot", "p", 4, 6500, 1, 6, 500, 9000, 40, "other", 50, 0,
		  0, 0, .waiting_priority = 2 },
		{ "a team at its cap waits in a pool with room", "hot", "p", 4, 6500, 1, 6, 500,
		  9000, 40, "other", 50, 0, 0, 0, .held_by_cap = true },
		{ "a team at its cap sends more", "hot", "p", 4, 6500, 1, 6, 500, 9000, 8, "hot", 5,
		  500, 600, 850, .held_by_cap = true },
		{ "a job without a team", "", "p", 4, 6500, 1, 6, 500, 9000, 40, "", 50, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t share = play(&cases[i]);

		cr_expect_geq(share, cases[i].least_milli, "%s: %u of 1000 rejected", cases[i].what,
			      share);
		cr_expect_leq(share, cases[i].most_milli, "%s: %u of 1000 rejected", cases[i].what,
			      share);
	}
}

/* Arrivals that vary by 55% with a period of 15 s were taken for excess. */
Test(admission, periodic_variation_is_no_excess)
{
	struct admission *a = admission_create(BEGIN_MS - ADMISSION_WARMUP_MS);
	struct load_case c = {
		.short_until_ms = INT64_MAX, .waiting = 40, .waiting_team = "hot", .starts_s = 50
	};
	double due = 0;
	uint32_t rejected = 0;

	for (int64_t ms = 0; ms < 60000; ms += STEP_MS) {
		double phase = (double)(ms % 15000) / 15000;
		double factor = 1 + 0.55 * (phase < 0.5 ? 4 * phase - 1 : 3 - 4 * phase);

		if (ms % PASS_MS == 0)
			report(a, &c, ms);
		/* The mean rate is 0.8 of the weight. */
		due += 0.8 * 4 * factor * STEP_MS / 1000;
		if (due >= 1) {
			const struct admission_request req = {
				.id = "1", .team = "other", .pool = "p", .weight = 4, .priority = 0
			};
			struct admission_verdict v;

			due--;
			admission_decide(a, &req, BEGIN_MS + ms, &v);
			rejected += v.cause != ADMISSION_ACCEPTED;
		}
	}
	cr_expect_eq(rejected, 0, "%u jobs rejected", rejected);
	admission_destroy(a);
}

/* A short admission, with all tokens of the team used up. */
static struct admission *exhausted(const char *team, uint32_t weight)
{
	struct admission *a = admission_create(BEGIN_MS - ADMISSION_WARMUP_MS);
	const struct load_case c = {
		.short_until_ms = INT64_MAX, .waiting = 40, .waiting_team = "other", .starts_s = 50
	};
	const struct admission_request req = {
		.id = "1", .team = team, .pool = "p", .weight = weight
	};
	struct admission_verdict v = { .cause = ADMISSION_ACCEPTED };

	for (int64_t ms = 0; ms <= 500; ms += PASS_MS)
		report(a, &c, ms);
	for (int i = 0; i < 100 && v.cause == ADMISSION_ACCEPTED; i++)
		admission_decide(a, &req, BEGIN_MS + 500, &v);
	cr_assert_neq(v.cause, ADMISSION_ACCEPTED);
	return a;
}

struct retry_case {
	const char *what;
	uint32_t weight;
	uint32_t jobs; /* rejected at once */
	uint32_t longest_least_ms;
	uint32_t longest_most_ms;
};

/* Rejected callers that returned together were the next burst. */
Test(admission, retry_after_spreads_with_the_excess)
{
	static const struct retry_case cases[] = {
		{ "a few jobs above the rate", 10, 5, 1000, 2000 },
		{ "3 s of the rate", 10, 30, 2500, 4500 },
		{ "20 s of the rate", 10, 200, 8000, ADMISSION_RETRY_MAX_MS },
		{ "a small team, 100 s of its rate", 1, 100, 8000, ADMISSION_RETRY_MAX_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct admission *a = exhausted("hot", cases[i].weight);
		uint32_t longest = 0;
		uint32_t in_second[11] = { 0 };

		for (uint32_t k = 0; k < cases[i].jobs; k++) {
			struct admission_verdict v;
			char id[17];
			struct admission_request req = {
				.id = id, .team = "hot", .pool = "p", .weight = cases[i].weight
			};

			snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
				 (uint64_t)(k + 1) * 0x9e3779b97f4a7c15);
			admission_decide(a, &req, BEGIN_MS + 500, &v);
			cr_assert_neq(v.cause, ADMISSION_ACCEPTED, "%s", cases[i].what);
			cr_assert_geq(v.retry_after_ms, ADMISSION_RETRY_MIN_MS, "%s",
				      cases[i].what);
			longest = MAX(longest, v.retry_after_ms);
			in_second[MIN(v.retry_after_ms / 1000, 10)]++;
		}
		cr_expect_geq(longest, cases[i].longest_least_ms, "%s: %u", cases[i].what, longest);
		cr_expect_leq(longest, cases[i].longest_most_ms, "%s: %u", cases[i].what, longest);
		for (uint32_t s = 0; cases[i].jobs >= 100 && s < 11; s++)
			cr_expect_leq(in_second[s], cases[i].jobs * 2 / 5, "%s: %u after %u s",
				      cases[i].what, in_second[s], s);
		admission_destroy(a);
	}
}

struct state_case {
	const char *what;
	const char *team;
	const char *pool;
	uint32_t priority;
	int64_t after_ms;	       /* the bucket was empty */
	bool reports;		       /* passes go on reporting the shortage until then */
	bool ended;		       /* passes report that nothing waits */
	uint32_t jobs;		       /* that the team sends then */
	enum admission_cause expected; /* for the last one */
};

/* A state of shortage that outlived its cause rejected jobs for which there was room. */
Test(admission, a_shortage_ends)
{
	static const struct state_case cases[] = {
		{ "at once", "hot", "p", 0, 0, true, false, 1, ADMISSION_CAPACITY },
		{ "another team", "new", "p", 0, 0, true, false, 1, ADMISSION_ACCEPTED },
		{ "after a token's time, urgent", "hot", "p", 0, 300, true, false, 1,
		  ADMISSION_ACCEPTED },
		{ "after a token's time, less urgent", "hot", "p", 1, 300, true, false, 1,
		  ADMISSION_CAPACITY },
		{ "after four tokens' time, less urgent", "hot", "p", 1, 1050, true, false, 1,
		  ADMISSION_ACCEPTED },
		{ "100 ms without waiting jobs", "hot", "p", 0, 100, false, true, 1,
		  ADMISSION_CAPACITY },
		{ "the passes have stopped", "hot", "p", 0, 2100, false, false, 30,
		  ADMISSION_ACCEPTED },
		{ "the passes go on", "hot", "p", 0, 2100, true, false, 30, ADMISSION_CAPACITY },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct state_case *c = &cases[i];
		struct admission *a = exhausted("hot", 4);
		struct load_case waiting = { .short_until_ms = INT64_MAX,
					     .waiting = c->ended ? 0 : 40,
					     .starts_s = 50,
					     .waiting_team = "other" };
		const struct admission_request req = { .id = "1",
						       .team = c->team,
						       .pool = c->pool,
						       .weight = 4,
						       .priority = c->priority };
		struct admission_verdict v;

		for (int64_t ms = 0; (c->reports || c->ended) && ms <= c->after_ms; ms += PASS_MS)
			report(a, &waiting, 500 + ms);
		for (uint32_t k = 0; k < c->jobs; k++)
			admission_decide(a, &req, BEGIN_MS + 500 + c->after_ms, &v);
		cr_expect_eq(v.cause, c->expected, "%s", c->what);
		admission_destroy(a);
	}
}

/* The excess comes back before the bucket is full again, so it is the shortage's end that counts.
 */
Test(admission, all_is_accepted_once_nothing_has_waited_for_a_second)
{
	struct admission *a = exhausted("hot", 4);
	const struct load_case none = { .short_until_ms = 0 };
	uint32_t rejected = 0;

	for (int64_t ms = 520; ms <= 1600; ms += PASS_MS)
		report(a, &none, ms);
	for (int i = 0; i < 50; i++) {
		const struct admission_request req = {
			.id = "1", .team = "hot", .pool = "p", .weight = 4
		};
		struct admission_verdict v;

		admission_decide(a, &req, BEGIN_MS + 1600, &v);
		rejected += v.cause != ADMISSION_ACCEPTED;
	}
	cr_expect_eq(rejected, 0, "%u jobs rejected", rejected);
	admission_destroy(a);
}

/* A new scheduler doesn't know which jobs its predecessor has sent to the store. */
Test(admission, a_new_scheduler_rejects_nothing)
{
	static const struct load_case c = {
		.short_until_ms = INT64_MAX, .waiting = 40, .waiting_team = "other", .starts_s = 50
	};
	struct admission *a = admission_create(BEGIN_MS);
	int64_t first_ms = 0;

	for (int64_t ms = 0; ms < 6000 && !first_ms; ms += PASS_MS) {
		const struct admission_request req = {
			.id = "1", .team = "hot", .pool = "p", .weight = 4
		};
		struct admission_verdict v;

		report(a, &c, ms);
		for (int i = 0; i < 4; i++) {
			admission_decide(a, &req, BEGIN_MS + ms, &v);
			if (v.cause != ADMISSION_ACCEPTED)
				first_ms = ms;
		}
	}
	cr_expect_eq(first_ms, ADMISSION_WARMUP_MS);
	admission_destroy(a);
}
