#include <criterion/criterion.h>
#include <stdlib.h>

#include "workload.h"

/* Requests to the advisor under load: for which runners, how often, and what waits for a reply. */

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"

static struct fixture *advised_fixture(uint32_t runners)
{
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "quick", "desk", 0, 3, 17);
	fixture_add_queue(f, "slow", "desk", 1, 3, 400);
	fixture_start_cell(f, runners, 1, 1000, 8);
	return f;
}

static const struct fixture_advice *first_request(struct fixture *f)
{
	return &g_array_index(f->advice, struct fixture_advice, 0);
}

Test(advice, starts_carry_the_ticket_of_an_approved_runner)
{
	struct fixture *f = advised_fixture(3);

	fixture_submit(f, fixture_new_job(ID_A, "quick", 2, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 0);
	cr_assert_eq(first_request(f)->n, 3);
	cr_assert(fixture_advise(f, "r1", 2000));
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 2);
	for (guint i = 0; i < f->start->len; i++) {
		cr_assert_str_eq(g_array_index(f->start, struct fixture_start, i).runner, "r1");
		cr_assert_str_eq(g_array_index(f->start, struct fixture_start, i).ticket, "ticket");
	}
	fixture_destroy(f);
}

Test(advice, an_expired_ticket_is_requested_again_for_approved_runners_only)
{
	struct fixture *f = advised_fixture(3);

	fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 100));
	fixture_advance(f, 1);
	fixture_advise(f, "r1", 100);
	fixture_advance(f, 1);
	cr_assert_eq(f->batch, 0, "the ticket would expire before the start arrives");
	cr_assert_eq(first_request(f)->n, 1);
	cr_assert_str_eq(first_request(f)->runner[0], "r1");
	fixture_destroy(f);
}

/*
 * Gangs wait in a full pool. A request takes 400 ms and 4 ms for each runner, so it asks for all
 * runners at once.
 */
Test(advice, a_gang_requests_all_runners_at_once_even_without_room)
{
	struct fixture *f = advised_fixture(6);
	Cell__Job *filler = fixture_new_job(ID_A, "quick", 6, 900);
	Cell__Job *gang = fixture_new_job(ID_B, "slow", 2, 900);

	fixture_submit(f, filler);
	fixture_advance(f, 1);
	fixture_advise(f, "", 2000);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_accept_starts(f);
	gang->step[0]->gang = true;
	fixture_submit(f, gang);
	fixture_advance(f, 1);
	cr_assert_eq(first_request(f)->n, 6);
	fixture_advise(f, "r2r3r4", 2000);
	for (int i = 0; i < 13; i++)
		fixture_advance(f, 100);
	cr_assert_eq(f->advice_requests, 2, "no request while the tickets are valid");
	for (int i = 0; i < 17; i++)
		fixture_advance(f, 100);
	cr_assert_eq(f->advice_requests, 3, "the reserved room must not wait for tickets");
	cr_assert_eq(first_request(f)->n, 3, "only for the approved runners");
	fixture_destroy(f);
}

/* Of many waiting gangs, only those with reserved room renew their tickets. */
Test(advice, gangs_without_reserved_room_renew_no_tickets)
{
	struct fixture *f = advised_fixture(2);
	Cell__Job *filler = fixture_new_job(ID_A, "quick", 2, 900);
	uint32_t advice_requests;

	fixture_submit(f, filler);
	fixture_advance(f, 1);
	fixture_advise(f, "", 2000);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_accept_starts(f);
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%d", i);
		Cell__Job *gang = fixture_new_job(id, "slow", 2, 900);

		gang->step[0]->gang = true;
		fixture_submit(f, gang);
	}
	for (int i = 0; i < 10; i++) {
		fixture_advance(f, 10);
		while (fixture_advise(f, "", 2000))
			;
	}
	advice_requests = f->advice_requests;
	cr_assert_eq(advice_requests, 7, "one request for each");
	fixture_advance(f, 1500);
	cr_assert_eq(f->advice_requests, advice_requests + 2, "two of them have reserved room");
	fixture_destroy(f);
}

/*
 * A failed task waits because it avoids the only approved runner. Its step used to send 108
 * requests a day, which delayed those of all other steps.
 */
Test(advice, a_task_that_avoids_the_only_approved_runner_sends_no_requests)
{
	struct fixture *f = advised_fixture(1);
	uint32_t advice_requests;

	fixture_submit(f, fixture_new_job(ID_A, "slow", 1, 100));
	fixture_advance(f, 1);
	fixture_advise(f, "", 2000);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	fixture_accept_starts(f);
	fixture_end_run(f, "r0", 1, ID_A ".0.0.0", 1, END_FAILED);
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	advice_requests = f->advice_requests;
	for (int i = 0; i < 30; i++)
		fixture_advance(f, 100);
	cr_assert_eq(f->advice_requests, advice_requests);
	fixture_destroy(f);
}

/* With more jobs than the advisor can serve, only those with a request in flight reserve room. */
Test(advice, steps_without_a_request_reserve_no_room)
{
	struct fixture *f = advised_fixture(1);

	fixture_add_queue(f, "free", "desk", 5, 3, 0);
	scheduler_set_advisor_clients(f->sched, 1);
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%d", i);

		fixture_submit(f, fixture_new_job(id, "slow", 2, 100));
	}
	fixture_submit(f, fixture_new_job(ID_A, "free", 10, 100));
	fixture_advance(f, 1);
	cr_assert_eq(f->advice_requests, 1,
		     "more requests would wait at the advisor for longer than tickets are valid");
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 8, "room for two tasks is reserved for the step with a request");
	fixture_destroy(f);
}

/*
 * After a takeover many steps need advice at once. Requests of 400 ms ahead of urgent ones of 20 ms
 * made the latter late. So some clients get no long requests, and the least urgent steps wait.
 */
Test(advice, long_requests_leave_clients_to_urgent_steps)
{
	static const struct {
		uint32_t clients;
		uint32_t long_requests;
	} cases[] = { { 1, 1 }, { 2, 1 }, { 4, 3 }, { 6, 5 }, { 8, 7 }, { 9, 7 }, { 12, 9 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f = advised_fixture(1);
		uint32_t answered = 0;

		scheduler_set_advisor_clients(f->sched, cases[i].clients);
		for (int k = 0; k < 10; k++) {
			g_autofree char *id = g_strdup_printf("00000000000000d%d", k);

			fixture_submit(f, fixture_new_job(id, "slow", 1, 10));
		}
		fixture_advance(f, 1);
		cr_expect_eq(f->advice_requests, cases[i].long_requests, "%u clients",
			     cases[i].clients);
		fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 10));
		fixture_advance(f, 1);
		cr_expect_eq(f->advice_requests, cases[i].long_requests + 1, "%u clients",
			     cases[i].clients);
		while (f->advice->len && answered < 10) {
			answered += fixture_advise(f, "", 2000);
			fixture_advance(f, 1);
		}
		cr_expect_eq(f->advice_requests, 11, "in the end all steps have a request");
		fixture_destroy(f);
	}
}

/* The runners of a new scheduler answer one after the other. */
Test(advice, a_new_scheduler_requests_advice_for_all_runners_at_once)
{
	struct fixture *f = fixture_create();

	fixture_add_queue(f, "quick", "desk", 0, 3, 17);
	fixture_start_scheduler(f);
	fixture_add_runner(f, "r0", "desk", "rack0", 1000, 8);
	fixture_add_runner(f, "r1", "desk", "rack0", 1000, 8);
	fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 100));
	fixture_advance(f, 1);
	fixture_poll_answer(f, "r0", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_eq(f->advice_requests, 0);
	fixture_poll_answer(f, "r1", NULL, 0, NULL, 0);
	fixture_advance(f, 1);
	cr_assert_eq(f->advice_requests, 1);
	cr_assert_eq(first_request(f)->n, 2);
	fixture_destroy(f);
}

Test(advice, an_unanswered_request_is_repeated_after_a_while)
{
	struct fixture *f = advised_fixture(1);

	fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 100));
	fixture_advance(f, 1);
	scheduler_advice_answered(f->sched, ID_A ".0.0", NULL, 0, NULL, 0, 0, false, f->now_ms);
	fixture_advance(f, 1);
	cr_assert_eq(f->advice_requests, 1);
	fixture_advance(f, 250);
	cr_assert_eq(f->advice_requests, 2);
	fixture_destroy(f);
}

/* In a full pool, lasting tasks come before urgent ones, as they are few. */
Test(advice, lasting_tasks_come_before_urgent_ones)
{
	struct fixture *f = advised_fixture(1);
	Cell__Job *lasting = fixture_new_job(ID_B, "slow", 1, 600);

	lasting->step[0]->lasting = true;
	fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 600));
	fixture_submit(f, lasting);
	fixture_advance(f, 1);
	while (fixture_advise(f, "", 2000))
		;
	fixture_advance(f, 1);
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 1);
	cr_assert_str_eq(g_array_index(f->start, struct fixture_start, 0).task, ID_B ".0.0.0");
	fixture_destroy(f);
}

/* In a slow store, a ticket may expire before the intent is in the log. */
Test(advice, an_expired_ticket_is_not_sent)
{
	struct fixture *f = advised_fixture(1);

	fixture_submit(f, fixture_new_job(ID_A, "quick", 1, 100));
	fixture_advance(f, 1);
	fixture_advise(f, "", 1000);
	fixture_advance(f, 1);
	cr_assert_neq(f->batch, 0);
	f->now_ms += 1200;
	fixture_ack_batch(f);
	cr_assert_eq(f->starts, 0);
	cr_assert_null(cell_job_live_run(fixture_find_job(f, ID_A), 0));
	cr_assert_eq(f->advice_requests, 2, "it is requested again");
	fixture_destroy(f);
}

/*
 * A gang of many members can't be placed on the few runners that a request of half the base cost
 * names. Once these were approved it waited for room that they could never have.
 */
struct gang_request_case {
	const char *what;
	uint32_t count;
	uint32_t cpu_milli; /* a runner has 1000 */
	size_t named;	    /* by the first request */
	bool asks_again;    /* if one of them is approved */
};

static const struct gang_request_case gang_request_cases[] = {
	{ "few small members", 4, 100, 8, false },
	{ "large members", 10, 400, 30, true },
	{ "many members", 30, 250, 45, true },
	{ "more members than a request may name runners", 40, 600, 100, true },
};

Test(advice, a_gang_asks_for_as_many_runners_as_it_needs)
{
	for (size_t i = 0; i < G_N_ELEMENTS(gang_request_cases); i++) {
		const struct gang_request_case *c = &gang_request_cases[i];
		struct fixture *f = advised_fixture(150);
		Cell__Job *filler = fixture_new_job(ID_B, "quick", 150, 950);
		Cell__Job *job = fixture_new_job(ID_A, "slow", c->count, c->cpu_milli);
		g_autofree char *approved = NULL;

		/* The pool is full. */
		fixture_submit(f, filler);
		fixture_advance(f, 1);
		for (int k = 0; k < 20 && f->starts < 150; k++) {
			fixture_advise(f, "", 2000);
			fixture_advance(f, 1);
			fixture_ack_batch(f);
			fixture_accept_starts(f);
		}
		cr_assert_eq(f->starts, 150);
		job->step[0]->gang = true;
		fixture_submit(f, job);
		fixture_advance(f, 1);
		cr_assert_eq(f->advice->len, 1, "%s: %u requests", c->what, f->advice->len);
		cr_expect_eq(first_request(f)->n, c->named, "%s: %zu", c->what,
			     first_request(f)->n);
		approved = g_strdup(first_request(f)->runner[0]);
		fixture_advise(f, approved, 2000);
		fixture_advance(f, 1);
		cr_expect_eq(f->advice->len, c->asks_again, "%s: %u", c->what, f->advice->len);
		fixture_destroy(f);
	}
}

/*
 * Each waiting gang asks about further runners and renews its tickets, which takes the advisor
 * about a second each time. With a backlog of gangs, more than could start before the tickets
 * expire, nothing was left for other steps, while runners stayed empty.
 */
struct gang_backlog_case {
	const char *what;
	uint32_t gangs;
	uint32_t members; /* of 900; the pool has 240 runners of 1000 */
	uint32_t asks_again;
};

static const struct gang_backlog_case gang_backlog_cases[] = {
	{ "one larger than half of the pool", 1, 135, 1 },
	{ "several of them", 6, 135, 2 },
	{ "a few smaller ones", 3, 36, 3 },
	{ "many smaller ones", 12, 36, 4 },
};

Test(advice, waiting_gangs_claim_half_of_a_pool)
{
	for (size_t i = 0; i < G_N_ELEMENTS(gang_backlog_cases); i++) {
		const struct gang_backlog_case *c = &gang_backlog_cases[i];
		struct fixture *f = advised_fixture(240);

		scheduler_set_advisor_clients(f->sched, 60);
		for (uint32_t k = 0; k < c->gangs; k++) {
			g_autofree char *id = g_strdup_printf("00000000000000%02x", 0xd0 + k);
			Cell__Job *gang = fixture_new_job(id, "slow", c->members, 900);

			gang->step[0]->gang = true;
			fixture_submit(f, gang);
		}
		fixture_advance(f, 1);
		cr_assert_eq(f->advice->len, c->gangs, "%s: one request for each", c->what);
		while (fixture_advise(f, "r1", 2000))
			;
		fixture_advance(f, 1);
		cr_expect_eq(f->advice->len, c->asks_again, "%s: %u requests", c->what,
			     f->advice->len);
		fixture_destroy(f);
	}
}

/* Gangs that no set of approved runners can hold must not keep others from asking. */
Test(advice, gangs_that_can_never_start_claim_nothing)
{
	enum { HOPELESS = 4, GANGS = 3, RUNNERS = 60 };
	struct fixture *f = advised_fixture(RUNNERS);
	uint32_t asked = 0;

	scheduler_set_advisor_clients(f->sched, 60);
	for (uint32_t k = 0; k < HOPELESS + GANGS; k++) {
		g_autofree char *id = g_strdup_printf("00000000000000%02x", 0xd0 + k);
		Cell__Job *gang = fixture_new_job(id, "slow", k < HOPELESS ? RUNNERS + 1 : 10, 900);

		gang->step[0]->gang = true;
		fixture_submit(f, gang);
	}
	fixture_advance(f, 1);
	while (fixture_advise(f, "r1", 2000))
		;
	fixture_advance(f, 1);
	for (guint i = 0; i < f->advice->len; i++) {
		const struct fixture_advice *a =
			&g_array_index(f->advice, struct fixture_advice, i);

		asked += strtoul(a->step + 14, NULL, 16) >= 0xd0 + HOPELESS;
	}
	cr_expect_eq(asked, GANGS, "%u of them asked again", asked);
	fixture_destroy(f);
}

/*
 * Jobs in time come first at the advisor. While they keep it busy, late ones got no advice for 45 s
 * though most of the runners were empty.
 */
struct late_case {
	const char *what;
	const char *queue; /* of all jobs */
	uint32_t clients;
	uint32_t busy;	       /* jobs in time that have come before */
	uint32_t new_every_ms; /* jobs in time */
	uint32_t request_ms;   /* until a request is answered */
	uint32_t late;	       /* jobs */
	uint32_t cpu_milli;    /* of a task in time; the pool has 40 runners of 1000 */
	uint32_t longest_ms;   /* until all late ones have asked; 0 if they must not ask */
	uint32_t used_milli;   /* of each runner, by others */
};

#define LATE_STEP_MS  WORKLOAD_STEP_MS
#define LATE_UNTIL_MS 20000

static const struct late_case late_cases[] = {
	{ "long requests", "slow", 7, 60, 50, 500, 1, 10, 4000 },
	{ "long requests of several late jobs", "slow", 7, 60, 50, 500, 4, 10, 4000 },
	{ "short requests", "quick", 2, 60, 10, 150, 1, 10, 3000 },
	{ "a single client", "slow", 1, 4, 300, 500, 1, 10, 5000 },
	{ "two clients", "slow", 2, 4, 300, 500, 1, 10, 5000 },
	/* Jobs in time need what is left of the pool. */
	{ "a pool in use", "slow", 7, 60, 50, 500, 1, 10, 0, 600 },
	/* Jobs in time have no room in what is left of it, so they don't keep the advisor busy. */
	{ "a pool in use, too full for jobs in time", "slow", 7, 60, 50, 500, 1, 800, 10000 },
};

/* Lasting tasks of a queue without an advisor. */
static void use_runners(struct fixture *f, uint32_t count, uint32_t used_milli)
{
	Cell__Job *job = fixture_new_job(ID_A, "other", count, used_milli);

	job->step[0]->lasting = true;
	job->step[0]->spread_max = 1;
	fixture_submit(f, job);
}

/* A job whose objective ended long ago, or ends in 60 s. */
static void submit_at(struct fixture *f, const struct late_case *c, uint32_t number, bool late)
{
	g_autofree char *id = g_strdup_printf("%c%015x", late ? 'a' : 'b', number);
	Cell__Job *job = fixture_new_job(id, c->queue, 1, late ? 10 : c->cpu_milli);

	job->accepted_ms = f->wall_ms - (late ? 120000 : 0);
	job->objective_ms = late ? 1000 : 60000;
	fixture_submit(f, job);
}

struct late_play {
	const struct late_case *c;
	struct fixture *f;
	GArray *answer_ms; /* when the requests are answered, oldest first */
	uint32_t asked;	   /* late jobs */
};

/* New requests are at the end of the list. */
static void note_requests(struct late_play *p)
{
	while (p->answer_ms->len < p->f->advice->len) {
		const struct fixture_advice *a =
			&g_array_index(p->f->advice, struct fixture_advice, p->answer_ms->len);
		int64_t at_ms = p->f->now_ms + p->c->request_ms;

		p->asked += *a->step == 'a';
		g_array_append_val(p->answer_ms, at_ms);
	}
}

static void answer_requests(struct late_play *p)
{
	while (p->answer_ms->len && g_array_index(p->answer_ms, int64_t, 0) <= p->f->now_ms) {
		fixture_advise(p->f, "", 2000);
		g_array_remove_index(p->answer_ms, 0);
	}
}

static int64_t play_late(const struct late_case *c)
{
	struct late_play p = { .c = c, .f = advised_fixture(40) };
	struct workload *w = workload_create(p.f);
	int64_t waited_ms = 0;
	uint32_t number = 0;

	p.answer_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	scheduler_set_advisor_clients(p.f->sched, c->clients);
	if (c->used_milli)
		use_runners(p.f, 40, c->used_milli);
	workload_run(w, 100);
	/* The advisor is busy when the late jobs come. */
	for (; number < c->busy; number++)
		submit_at(p.f, c, number, false);
	fixture_advance(p.f, LATE_STEP_MS);
	for (uint32_t i = 0; i < c->late; i++)
		submit_at(p.f, c, i, true);
	for (; waited_ms < LATE_UNTIL_MS && p.asked < c->late; waited_ms += LATE_STEP_MS) {
		for (; number < c->busy + waited_ms / c->new_every_ms; number++)
			submit_at(p.f, c, number, false);
		workload_run(w, LATE_STEP_MS);
		note_requests(&p);
		answer_requests(&p);
	}
	workload_destroy(w);
	g_array_unref(p.answer_ms);
	fixture_destroy(p.f);
	return waited_ms;
}

Test(advice, late_steps_ask_in_bounded_time)
{
	for (size_t i = 0; i < G_N_ELEMENTS(late_cases); i++) {
		int64_t waited_ms = play_late(&late_cases[i]);

		if (late_cases[i].longest_ms)
			cr_expect_leq(waited_ms, late_cases[i].longest_ms, "%s: %ld ms",
				      late_cases[i].what, (long)waited_ms);
		else
			cr_expect_geq(waited_ms, LATE_UNTIL_MS, "%s: %ld ms", late_cases[i].what,
				      (long)waited_ms);
	}
}

struct mute_case {
	const char *what;
	uint32_t tasks;
	uint32_t cpu_milli;
	bool gang;
	int64_t answer_ms;    /* after the request; 0: none, the request times out */
	bool small_jobs_wait; /* for the first 500 ms, as room is kept for the step */
};

static const struct mute_case mute_cases[] = {
	{ "tasks, no answer", 20, 400, false, 0 },
	{ "large tasks, no answer", 10, 900, false, 0 },
	{ "gangs, no answer", 10, 900, true, 0 },
	{ "tasks, an answer", 20, 400, false, 400, true },
	{ "large tasks, an answer", 10, 900, false, 400, true },
};

/* Answers the requests that are old enough. */
static void answer_old(struct fixture *f, GArray *sent_ms, int64_t answer_ms)
{
	while (sent_ms->len < f->advice->len)
		g_array_append_val(sent_ms, f->now_ms);
	while (sent_ms->len &&
	       f->now_ms - g_array_index(sent_ms, int64_t, 0) >= (answer_ms ? answer_ms : 3000)) {
		g_array_remove_index(sent_ms, 0);
		if (answer_ms) {
			fixture_advise(f, "", 2000);
			continue;
		}
		scheduler_advice_answered(f->sched, first_request(f)->step, NULL, 0, NULL, 0, 0,
					  false, f->now_ms);
		g_array_remove_index(f->advice, 0);
	}
}

/*
 * Guards against jobs that wait for an advisor which isn't theirs: room was kept for tasks whose
 * request was in flight. While the advisor didn't answer, all of the pool was kept for ever. The
 * other side: while an answer is to be expected, room is kept.
 */
Test(advice, an_advisor_that_does_not_answer_keeps_no_room)
{
	enum { RUNNERS = 10, JOBS = 12, SMALL = 5, LIMIT_MS = 3000 };

	for (size_t i = 0; i < G_N_ELEMENTS(mute_cases); i++) {
		const struct mute_case *c = &mute_cases[i];
		struct fixture *f = advised_fixture(RUNNERS);
		struct workload *w = workload_create(f);
		g_autoptr(GArray) sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));

		for (uint32_t k = 0; k < JOBS; k++) {
			g_autofree char *id = g_strdup_printf("a%015x", k);
			Cell__Job *job = fixture_new_job(id, "quick", c->tasks, c->cpu_milli);

			job->step[0]->gang = c->gang;
			fixture_submit(f, job);
		}
		workload_run(w, 20);
		for (uint32_t k = 0; k < SMALL; k++) {
			g_autofree char *id = g_strdup_printf("b%015x", k);

			fixture_submit(f, fixture_new_job(id, "other", 1, 300));
		}
		for (int64_t t = 0; t < LIMIT_MS; t += WORKLOAD_STEP_MS) {
			workload_run(w, WORKLOAD_STEP_MS);
			answer_old(f, sent_ms, c->answer_ms);
			if (t < 300 && c->small_jobs_wait)
				cr_assert_eq(workload_started(w, "b"), 0, "%s: after %d ms",
					     c->what, (int)t);
		}
		if (c->answer_ms)
			cr_expect_geq(workload_started(w, "a"), 10, "%s: %u tasks started", c->what,
				      workload_started(w, "a"));
		else
			cr_expect_eq(workload_started(w, "b"), SMALL, "%s: %u small jobs started",
				     c->what, workload_started(w, "b"));
		workload_destroy(w);
		fixture_destroy(f);
	}
}
