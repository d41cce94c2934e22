#include <criterion/criterion.h>

#include "bed.h"

/* The advisor under load: who is asked about, how often, and what waits for its answer. */

#define ID_A "00000000000000a1"
#define ID_B "00000000000000b2"

static struct bed *advised_bed(uint32_t runners)
{
	struct bed *b = bed_create();

	bed_queue(b, "quick", "desk", 0, 3, 17);
	bed_queue(b, "slow", "desk", 1, 3, 400);
	bed_begin(b);
	for (uint32_t i = 0; i < runners; i++) {
		g_autofree char *id = g_strdup_printf("r%u", i);

		bed_runner(b, id, "desk", "rack0", 1000, 8);
	}
	bed_settle(b);
	return b;
}

static const struct bed_ask *question(struct bed *b)
{
	return &g_array_index(b->ask, struct bed_ask, 0);
}

Test(advice, starts_carry_the_ticket_of_an_approved_runner)
{
	struct bed *b = advised_bed(3);

	bed_submit(b, bed_job(ID_A, "quick", 2, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 0);
	cr_assert_eq(question(b)->n, 3);
	cr_assert(bed_advise(b, "r1", 2000));
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 2);
	for (guint i = 0; i < b->start->len; i++) {
		cr_assert_str_eq(g_array_index(b->start, struct bed_start, i).runner, "r1");
		cr_assert_str_eq(g_array_index(b->start, struct bed_start, i).ticket, "ticket");
	}
	bed_destroy(b);
}

Test(advice, an_expired_ticket_is_asked_for_again_of_the_approved_only)
{
	struct bed *b = advised_bed(3);

	bed_submit(b, bed_job(ID_A, "quick", 1, 100));
	bed_pass(b, 1);
	bed_advise(b, "r1", 100);
	bed_pass(b, 1);
	cr_assert_eq(b->batch, 0, "it would be over before the order comes");
	cr_assert_eq(question(b)->n, 1);
	cr_assert_str_eq(question(b)->runner[0], "r1");
	bed_destroy(b);
}

/* Pattern: gangs wait on a full pool. The decision takes 400 ms, a name 4: all are named at once.
 */
Test(advice, a_gang_names_all_runners_at_once_also_without_room)
{
	struct bed *b = advised_bed(6);
	Cell__Job *filler = bed_job(ID_A, "quick", 6, 900);
	Cell__Job *gang = bed_job(ID_B, "slow", 2, 900);

	bed_submit(b, filler);
	bed_pass(b, 1);
	bed_advise(b, "", 2000);
	bed_pass(b, 1);
	bed_ack(b);
	bed_accept_all(b);
	gang->step[0]->gang = true;
	bed_submit(b, gang);
	bed_pass(b, 1);
	cr_assert_eq(question(b)->n, 6);
	bed_advise(b, "r2r3r4", 2000);
	for (int i = 0; i < 13; i++)
		bed_pass(b, 100);
	cr_assert_eq(b->asks, 2, "nothing is asked while the tickets last");
	for (int i = 0; i < 17; i++)
		bed_pass(b, 100);
	cr_assert_eq(b->asks, 3, "room is kept for it, and is not to wait for tickets");
	cr_assert_eq(question(b)->n, 3, "only the approved ones are named");
	bed_destroy(b);
}

/* Pattern: many gangs wait. Tickets are kept for those only that room is kept for. */
Test(advice, gangs_without_kept_room_renew_no_tickets)
{
	struct bed *b = advised_bed(2);
	Cell__Job *filler = bed_job(ID_A, "quick", 2, 900);
	uint32_t asks;

	bed_submit(b, filler);
	bed_pass(b, 1);
	bed_advise(b, "", 2000);
	bed_pass(b, 1);
	bed_ack(b);
	bed_accept_all(b);
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%d", i);
		Cell__Job *gang = bed_job(id, "slow", 2, 900);

		gang->step[0]->gang = true;
		bed_submit(b, gang);
	}
	for (int i = 0; i < 10; i++) {
		bed_pass(b, 10);
		while (bed_advise(b, "", 2000))
			;
	}
	asks = b->asks;
	cr_assert_eq(asks, 7, "each was asked about once");
	bed_pass(b, 1500);
	cr_assert_eq(b->asks, asks + 2, "two of them are the first to get room");
	bed_destroy(b);
}

/*
 * Pattern: one failed task among many waits for a runner that it avoids. It used to ask 108 times
 * a day and took the advisor's time from all others.
 */
Test(advice, a_task_that_avoids_the_only_approved_runner_does_not_ask_on)
{
	struct bed *b = advised_bed(1);
	uint32_t asks;

	bed_submit(b, bed_job(ID_A, "slow", 1, 100));
	bed_pass(b, 1);
	bed_advise(b, "", 2000);
	bed_pass(b, 1);
	bed_ack(b);
	bed_accept_all(b);
	bed_end(b, "r0", 1, ID_A ".0.0.0", 1, END_FAILED);
	bed_pass(b, 1);
	bed_ack(b);
	asks = b->asks;
	for (int i = 0; i < 30; i++)
		bed_pass(b, 100);
	cr_assert_eq(b->asks, asks);
	bed_destroy(b);
}

/* Pattern: more jobs than the advisor can answer for. Room is kept only for those it was asked for.
 */
Test(advice, steps_that_were_not_asked_for_keep_no_room)
{
	struct bed *b = advised_bed(1);

	bed_queue(b, "free", "desk", 5, 3, 0);
	scheduler_set_advisor_clients(b->sched, 1);
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("00000000000000d%d", i);

		bed_submit(b, bed_job(id, "slow", 2, 100));
	}
	bed_submit(b, bed_job(ID_A, "free", 10, 100));
	bed_pass(b, 1);
	cr_assert_eq(b->asks, 1, "more would wait at the advisor for longer than tickets last");
	bed_ack(b);
	cr_assert_eq(b->starts, 8, "room for two is kept for the one that was asked for");
	bed_destroy(b);
}

/*
 * Pattern: after a takeover many steps wait for advice at once. Questions of 400 ms in front of
 * urgent ones of 20 ms made these late; some helpers are kept from long ones, the least urgent
 * wait.
 */
Test(advice, long_questions_leave_helpers_to_urgent_steps)
{
	static const struct {
		uint32_t helpers;
		uint32_t longs;
	} cases[] = { { 1, 1 }, { 2, 1 }, { 4, 3 }, { 6, 5 }, { 8, 7 }, { 9, 7 }, { 12, 9 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct bed *b = advised_bed(1);
		uint32_t longs = 0;

		scheduler_set_advisor_clients(b->sched, cases[i].helpers);
		for (int k = 0; k < 10; k++) {
			g_autofree char *id = g_strdup_printf("00000000000000d%d", k);

			bed_submit(b, bed_job(id, "slow", 1, 10));
		}
		bed_pass(b, 1);
		cr_expect_eq(b->asks, cases[i].longs, "%u helpers", cases[i].helpers);
		bed_submit(b, bed_job(ID_A, "quick", 1, 10));
		bed_pass(b, 1);
		cr_expect_eq(b->asks, cases[i].longs + 1, "%u helpers", cases[i].helpers);
		while (b->ask->len && longs < 10) {
			longs += bed_advise(b, "", 2000);
			bed_pass(b, 1);
		}
		cr_expect_eq(b->asks, 11, "all are asked about in the end");
		bed_destroy(b);
	}
}

/* Pattern: a new scheduler reaches its runners one after the other. */
Test(advice, a_new_scheduler_asks_about_all_runners_at_once)
{
	struct bed *b = bed_create();

	bed_queue(b, "quick", "desk", 0, 3, 17);
	bed_begin(b);
	bed_runner(b, "r0", "desk", "rack0", 1000, 8);
	bed_runner(b, "r1", "desk", "rack0", 1000, 8);
	bed_submit(b, bed_job(ID_A, "quick", 1, 100));
	bed_pass(b, 1);
	bed_poll_answer(b, "r0", NULL, 0, NULL, 0);
	bed_pass(b, 1);
	cr_assert_eq(b->asks, 0);
	bed_poll_answer(b, "r1", NULL, 0, NULL, 0);
	bed_pass(b, 1);
	cr_assert_eq(b->asks, 1);
	cr_assert_eq(question(b)->n, 2);
	bed_destroy(b);
}

Test(advice, no_answer_is_asked_again_after_a_while)
{
	struct bed *b = advised_bed(1);

	bed_submit(b, bed_job(ID_A, "quick", 1, 100));
	bed_pass(b, 1);
	scheduler_advice_answered(b->sched, ID_A ".0.0", NULL, 0, NULL, 0, 0, false, b->now_ms);
	bed_pass(b, 1);
	cr_assert_eq(b->asks, 1);
	bed_pass(b, 250);
	cr_assert_eq(b->asks, 2);
	bed_destroy(b);
}

/* Pattern: a full pool, urgent work and tasks that last: those come first, they are few. */
Test(advice, tasks_that_last_come_before_urgent_ones)
{
	struct bed *b = advised_bed(1);
	Cell__Job *lasting = bed_job(ID_B, "slow", 1, 600);

	lasting->step[0]->lasting = true;
	bed_submit(b, bed_job(ID_A, "quick", 1, 600));
	bed_submit(b, lasting);
	bed_pass(b, 1);
	while (bed_advise(b, "", 2000))
		;
	bed_pass(b, 1);
	bed_ack(b);
	cr_assert_eq(b->starts, 1);
	cr_assert_str_eq(g_array_index(b->start, struct bed_start, 0).task, ID_B ".0.0.0");
	bed_destroy(b);
}

/* Pattern: a store that is slow. A ticket that is over when the intent is in the log is not sent.
 */
Test(advice, a_ticket_that_is_over_is_not_sent)
{
	struct bed *b = advised_bed(1);

	bed_submit(b, bed_job(ID_A, "quick", 1, 100));
	bed_pass(b, 1);
	bed_advise(b, "", 1000);
	bed_pass(b, 1);
	cr_assert_neq(b->batch, 0);
	b->now_ms += 1200;
	bed_ack(b);
	cr_assert_eq(b->starts, 0);
	cr_assert_null(bed_plan(b, ID_A)->task[0].live_run);
	cr_assert_eq(b->asks, 2, "it is asked for again");
	bed_destroy(b);
}
