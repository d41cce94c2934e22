#include <criterion/criterion.h>

#include "fakestore.h"
#include "process/election.h"

#define TICK_MS 100

struct candidate {
	struct fake_client *client;
	struct election *election;
	uint64_t term; /* 0 if it is not the scheduler */
	char holder[32];
	uint32_t won;
	uint32_t lost;
	bool low_priority;
	bool holder_silent; /* result of the holder_silent callback */
};

static void on_won(void *ctx, uint64_t term)
{
	struct candidate *c = ctx;

	c->term = term;
	c->won++;
}

static void on_lost(void *ctx, const char *why)
{
	struct candidate *c = ctx;

	c->term = 0;
	c->lost++;
}

static void on_holder_changed(void *ctx, const char *address, uint64_t term)
{
	g_strlcpy(((struct candidate *)ctx)->holder, address, 32);
}

static bool on_holder_silent(void *ctx)
{
	return ((struct candidate *)ctx)->holder_silent;
}

static const struct election_ops ops = { .won = on_won,
					 .lost = on_lost,
					 .holder_changed = on_holder_changed,
					 .holder_silent = on_holder_silent };

static void candidate_create(struct candidate *c, struct fake_log *l, const char *name)
{
	struct store store;

	c->client = fake_client_create(l);
	store = fake_store(c->client);
	c->election = election_create(&store, name, name, c->low_priority, &ops, c);
}

static void advance(struct fake_log *l, struct candidate *c, int n, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += TICK_MS) {
		fake_now_ms += TICK_MS;
		for (int i = 0; i < n; i++)
			if (c[i].election)
				election_tick(c[i].election);
		fake_serve(l);
	}
}

/* c[0] holds the lease, c[1] follows. */
static void create_pair(struct fake_log *l, struct candidate *c)
{
	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	candidate_create(&c[1], l, "b");
	advance(l, c, 2, 1000);
}

static int count_leaders(const struct candidate *c, int n)
{
	int count = 0;

	for (int i = 0; i < n; i++)
		count += c[i].term > 0;
	return count;
}

static void teardown(struct fake_log *l, struct candidate *c, int n)
{
	for (int i = 0; i < n; i++)
		election_destroy(c[i].election);
	fake_log_destroy(l);
}

Test(election, one_of_three_candidates_wins_and_stays)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[3] = { 0 };
	int first;

	for (int i = 0; i < 3; i++)
		candidate_create(&c[i], l, (const char *[]){ "a", "b", "c" }[i]);
	advance(l, c, 3, 500);
	cr_assert_eq(count_leaders(c, 3), 1);
	first = c[0].term ? 0 : c[1].term ? 1 : 2;
	advance(l, c, 3, 60000);
	cr_assert_eq(count_leaders(c, 3), 1);
	cr_assert_gt(c[first].term, 0);
	cr_assert_eq(c[0].won + c[1].won + c[2].won, 1);
	teardown(l, c, 3);
}

Test(election, dead_holder_is_replaced_with_a_higher_term)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };
	uint64_t term;

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	term = c[0].term;
	cr_assert_gt(term, 0);
	candidate_create(&c[1], l, "b");
	advance(l, c, 2, 1000);
	g_clear_pointer(&c[0].election, election_destroy);
	fake_drop_calls(c[0].client);
	advance(l, c, 2, ELECTION_LEASE_MS - ELECTION_RENEW_MS - 2 * TICK_MS);
	cr_assert_eq(c[1].term, 0, "claimed before the lease expired");
	advance(l, c, 2, 2000);
	cr_assert_gt(c[1].term, term);
	teardown(l, c, 2);
}

/*
 * The scheduler's VM loses power, freezes or is partitioned under load, while jobs have about a
 * second to spare. Its links are silent too, so the others do not wait for the whole lease.
 */
Test(election, silent_holder_is_replaced_before_its_lease_expires)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	c[1].holder_silent = true;
	advance(l, c, 2, ELECTION_SILENT_LEASE_MS + 300);
	cr_assert_gt(c[1].term, 0);
	teardown(l, c, 2);
}

/* A lost link must not depose a scheduler whose renewals are still read. */
Test(election, silent_holder_that_renews_keeps_the_lease)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	c[1].holder_silent = true;
	advance(l, c, 2, 10000);
	cr_assert_gt(c[0].term, 0);
	cr_assert_eq(c[1].won, 0);
	teardown(l, c, 2);
}

/* The store refuses the scheduler's calls and serves the other nodes. */
Test(election, holder_notices_failed_renewals)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[1] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 1000);
	cr_assert(election_renewing(c[0].election));
	fake_set_mode(c[0].client, FAKE_REFUSES);
	advance(l, c, 1, ELECTION_RENEW_MS + 2 * TICK_MS);
	cr_assert_not(election_renewing(c[0].election));
	fake_set_mode(c[0].client, FAKE_OK);
	advance(l, c, 1, 1000);
	cr_assert(election_renewing(c[0].election));
	teardown(l, c, 1);
}

/* During an outage for all nodes the holder continues, and nobody claims right afterwards. */
Test(election, nobody_claims_right_after_a_store_outage)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	for (int i = 0; i < 2; i++)
		fake_set_mode(c[i].client, FAKE_SILENT);
	advance(l, c, 2, 5000);
	cr_assert_gt(c[0].term, 0);
	for (int i = 0; i < 2; i++)
		fake_set_mode(c[i].client, FAKE_OK);
	advance(l, c, 2, 10000);
	cr_assert_gt(c[0].term, 0);
	cr_assert_eq(c[1].won, 0);
	teardown(l, c, 2);
}

Test(election, holder_that_cannot_renew_steps_down)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[1] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	fake_set_mode(c[0].client, FAKE_SILENT);
	advance(l, c, 1, ELECTION_STEP_DOWN_MS - 1000);
	cr_assert_gt(c[0].term, 0);
	advance(l, c, 1, 2000);
	cr_assert_eq(c[0].term, 0);
	teardown(l, c, 1);
}

/* The store refuses only the holder, which reads its successor's claim once it is served again. */
Test(election, holder_that_the_store_refuses_is_replaced)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	fake_set_mode(c[0].client, FAKE_REFUSES);
	advance(l, c, 2, 4000);
	cr_assert_gt(c[1].term, 0);
	cr_assert_gt(c[0].term, 0, "it cannot know yet; its orders are fenced");
	cr_assert_gt(c[1].term, c[0].term);
	fake_set_mode(c[0].client, FAKE_OK);
	advance(l, c, 2, 2000);
	cr_assert_eq(c[0].term, 0);
	cr_assert_str_eq(c[0].holder, "b");
	teardown(l, c, 2);
}

Test(election, claim_whose_answer_is_lost_is_read_back)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[1] = { 0 };

	candidate_create(&c[0], l, "a");
	fake_set_mode(c[0].client, FAKE_LOSES_REPLY);
	advance(l, c, 1, 300);
	fake_set_mode(c[0].client, FAKE_OK);
	advance(l, c, 1, 2000);
	cr_assert_gt(c[0].term, 0);
	cr_assert_eq(c[0].won, 1);
	teardown(l, c, 1);
}

Test(election, renewals_whose_answers_are_lost_keep_the_lease)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	fake_set_mode(c[0].client, FAKE_LOSES_REPLY);
	advance(l, c, 2, 5000);
	fake_set_mode(c[0].client, FAKE_OK);
	advance(l, c, 2, 5000);
	cr_assert_eq(count_leaders(c, 2), 1);
	cr_assert_eq(c[1].won, 0, "its renewals were in the log");
	teardown(l, c, 2);
}

Test(election, released_lease_is_claimed_at_once)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	election_release(c[0].election, "");
	advance(l, c, 2, 500);
	cr_assert(election_handover_done(c[0].election));
	cr_assert_eq(c[0].term, 0);
	cr_assert_gt(c[1].term, 0);
	advance(l, c, 2, 10000);
	cr_assert_eq(c[0].won, 1, "it does not claim again");
	teardown(l, c, 2);
}

struct grants_case {
	const char *what;
	const char *successor; /* claims after the holder */
	bool released;
	bool no_grants_left; /* the holder certainly grants no more leases */
};

/* How long a new scheduler has to expect leases that earlier holders grant to runners. */
Test(election, end_of_the_leases_that_earlier_holders_grant)
{
	static const struct grants_case cases[] = {
		{ "released", "b/1", true, false },
		{ "its node runs a new process", "a/2", false, true },
		{ "not heard of", "b/1", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_log *l = fake_log_create();
		struct candidate c[2] = { 0 };
		int64_t after_ms;

		candidate_create(&c[0], l, "a/1");
		advance(l, c, 1, 500);
		candidate_create(&c[1], l, cases[i].successor);
		if (cases[i].released)
			election_release(c[0].election, "");
		advance(l, c, cases[i].released ? 2 : 1, 100);
		fake_drop_calls(c[0].client);
		g_clear_pointer(&c[0].election, election_destroy);
		while (!c[1].term)
			advance(l, c, 2, TICK_MS);
		after_ms = election_prior_grants_end_ms(c[1].election) - fake_now_ms;
		cr_expect_eq(after_ms <= 0, cases[i].no_grants_left, "%s", cases[i].what);
		cr_expect_leq(after_ms,
			      cases[i].released ? ELECTION_HANDOVER_MS : ELECTION_GRANT_MS, "%s",
			      cases[i].what);
		teardown(l, c, 2);
	}
}

/*
 * The holder is replaced a lease after its last renewal, and grants leases for a time that counts
 * from that renewal: a scheduler that counted from its own claim waited for leases that can't be.
 */
Test(election, grants_of_a_lost_holder_end_after_its_last_renewal)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };
	int64_t lost_ms;

	create_pair(l, c);
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	lost_ms = fake_now_ms;
	while (!c[1].term)
		advance(l, c, 2, TICK_MS);
	cr_expect_geq(fake_now_ms - lost_ms, ELECTION_LEASE_MS - ELECTION_RENEW_MS - TICK_MS);
	cr_expect_leq(election_prior_grants_end_ms(c[1].election) - lost_ms, ELECTION_GRANT_MS);
	/* It may have sent one right before it was lost. */
	cr_expect_geq(election_prior_grants_end_ms(c[1].election) - lost_ms,
		      ELECTION_GRANT_MS - ELECTION_RENEW_MS - 2 * TICK_MS);
	teardown(l, c, 2);
}

/*
 * The process of a killed scheduler is started again and links to its successor, which still waited
 * for the leases that the killed one might have granted.
 */
Test(election, a_new_process_of_its_node_shows_that_a_holder_has_ended)
{
	static const struct {
		const char *process;
		bool ended;
	} cases[] = {
		{ "a/200", true },		       /* started after the holder */
		{ "a/100", false }, { "a/99", false }, /* a message of an earlier one that was
							  delayed */
		{ "b/200", false }, { "aa/200", false }, { "a", false }, { "", false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_log *l = fake_log_create();
		struct candidate c[2] = { 0 };
		int64_t end_ms;

		candidate_create(&c[0], l, "a/100");
		advance(l, c, 1, 500);
		candidate_create(&c[1], l, "c/50");
		advance(l, c, 2, 1000);
		fake_drop_calls(c[0].client);
		g_clear_pointer(&c[0].election, election_destroy);
		c[1].holder_silent = true;
		while (!c[1].term)
			advance(l, c, 2, TICK_MS);
		end_ms = election_prior_grants_end_ms(c[1].election);
		cr_assert_gt(end_ms, fake_now_ms);
		election_process_started(c[1].election, cases[i].process);
		cr_expect_eq(election_prior_grants_end_ms(c[1].election),
			     cases[i].ended ? fake_now_ms : end_ms, "%s", cases[i].process);
		teardown(l, c, 2);
	}
}

/* The leases of a holder that took turns with others are not forgotten with those before it. */
Test(election, grants_of_a_holder_outlast_those_of_its_successor)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[3] = { 0 };
	int64_t end_ms;

	for (int i = 0; i < 3; i++) {
		candidate_create(&c[i], l, (const char *[]){ "a/1", "b/1", "c/1" }[i]);
		advance(l, c, i + 1, 500);
	}
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	c[1].holder_silent = true;
	while (!c[1].term)
		advance(l, c, 3, TICK_MS);
	end_ms = election_prior_grants_end_ms(c[1].election);
	advance(l, c, 3, TICK_MS);
	/* b hands over at once: what a may still grant counts for c too. */
	election_release(c[1].election, "c/1");
	while (!c[2].term)
		advance(l, c, 3, TICK_MS);
	election_process_started(c[2].election, "b/2");
	cr_expect_geq(election_prior_grants_end_ms(c[2].election), end_ms - INT64_C(2) * TICK_MS);
	election_process_started(c[2].election, "a/2");
	cr_expect_leq(election_prior_grants_end_ms(c[2].election), fake_now_ms);
	teardown(l, c, 3);
}

/*
 * A node started when the holder's claim was trimmed from the log, found only renewals of a term
 * that it did not know, and took the lease from a scheduler that was alive, which it did not expect
 * to grant any more leases (TWICE).
 */
Test(election, renewals_name_the_holder_when_its_claim_was_trimmed)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 5000);
	fake_trim(l, "lead", 0, 3);
	candidate_create(&c[1], l, "b");
	advance(l, c, 2, 5000);
	cr_assert_eq(c[1].won, 0);
	cr_assert_gt(c[0].term, 0);
	cr_assert_str_eq(c[1].holder, "a");
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	while (!c[1].term)
		advance(l, c, 2, TICK_MS);
	cr_assert_gt(election_prior_grants_end_ms(c[1].election), fake_now_ms);
	teardown(l, c, 2);
}

/*
 * A holder that has released the lease was frozen until its handover was over. Before it noticed,
 * it could still grant leases that its successor did not expect.
 */
Test(election, holder_grants_no_leases_after_its_handover)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	cr_assert_gt(election_grants_end_ms(c[0].election),
		     fake_now_ms + ELECTION_GRANT_MS - ELECTION_RENEW_MS - TICK_MS);
	election_release(c[0].election, "b");
	fake_serve(l);
	while (!c[1].term)
		advance(l, &c[1], 1, TICK_MS);
	cr_assert_gt(c[0].term, 0);
	cr_assert_leq(election_grants_end_ms(c[0].election),
		      election_prior_grants_end_ms(c[1].election));
	teardown(l, c, 2);
}

/*
 * Rolling restart of the VMs with a slow store: release, claim and fence took 2.2 s, during which
 * there was no scheduler. A holder that stops now keeps scheduling until another node claims.
 */
Test(election, stopping_holder_schedules_until_another_claims)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	fake_set_mode(c[1].client, FAKE_REFUSES);
	election_release(c[0].election, "b");
	advance(l, c, 2, 1000);
	cr_assert_gt(c[0].term, 0);
	cr_assert_not(election_renewing(c[0].election));
	fake_set_mode(c[1].client, FAKE_OK);
	advance(l, c, 2, 700);
	cr_assert_gt(c[1].term, 0);
	cr_assert_eq(c[0].term, 0);
	cr_assert(election_handover_done(c[0].election));
	teardown(l, c, 2);
}

/* A small VM claimed first. It hands over, and may claim again when the other VM is lost. */
Test(election, holder_that_yielded_may_claim_again)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	election_yield(c[0].election, "b");
	advance(l, c, 2, 500);
	cr_assert_gt(c[1].term, 0);
	cr_assert_eq(c[0].term, 0);
	cr_assert_not(election_handover_done(c[0].election));
	fake_drop_calls(c[1].client);
	g_clear_pointer(&c[1].election, election_destroy);
	advance(l, c, 2, 3000);
	cr_assert_gt(c[0].term, 0);
	teardown(l, c, 2);
}

Test(election, stopping_holder_waits_for_a_limited_time)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[1] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	election_release(c[0].election, "");
	advance(l, c, 1, ELECTION_HANDOVER_MS + 2 * TICK_MS);
	cr_assert_eq(c[0].term, 0);
	cr_assert(election_handover_done(c[0].election));
	teardown(l, c, 1);
}

/*
 * The holder's process is killed and restarted on its node, possibly together with all others.
 */
Test(election, restarted_holder_does_not_wait_for_its_own_lease)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	candidate_create(&c[0], l, "a/1");
	advance(l, c, 1, 500);
	candidate_create(&c[1], l, "b/1");
	advance(l, c, 2, 1000);
	g_clear_pointer(&c[0].election, election_destroy);
	fake_drop_calls(c[0].client);
	candidate_create(&c[0], l, "a/2");
	advance(l, c, 2, 300);
	cr_assert_gt(c[0].term, 0);
	teardown(l, c, 2);
}

Test(election, names_with_a_common_prefix_are_different_nodes)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	candidate_create(&c[0], l, "a-1/1");
	advance(l, c, 1, 500);
	candidate_create(&c[1], l, "a/1");
	advance(l, c, 2, 1000);
	cr_assert_eq(c[1].won, 0);
	teardown(l, c, 2);
}

/*
 * A node stepped down while its renewal or release was in flight. The answer was taken for that to
 * a claim: the node became the scheduler of a term of which no other node knew.
 */
Test(election, answer_to_a_renewal_or_release_wins_nothing)
{
	for (int yields = 0; yields < 2; yields++) {
		struct fake_log *l = fake_log_create();
		struct candidate c[2] = { 0 };

		create_pair(l, c);
		fake_now_ms += ELECTION_RENEW_MS;
		if (yields)
			election_yield(c[0].election, "b");
		else
			election_tick(c[0].election);
		fake_hold_appends(c[0].client);
		if (yields)
			fake_now_ms += ELECTION_HANDOVER_MS;
		election_superseded(c[0].election, "test");
		cr_assert_eq(c[0].term, 0);
		fake_release_appends(c[0].client);
		fake_serve(l);
		cr_expect_eq(c[0].term, 0, "case %d", yields);
		advance(l, c, 2, 3000);
		cr_expect_eq(count_leaders(c, 2), 1, "case %d", yields);
		advance(l, c, 2, 10000);
		cr_expect_eq(c[0].won + c[1].won, 2, "case %d", yields);
		teardown(l, c, 2);
	}
}

Test(election, named_successor_claims_first)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[3] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	candidate_create(&c[1], l, "b");
	candidate_create(&c[2], l, "c");
	advance(l, c, 3, 1000);
	election_release(c[0].election, "c");
	advance(l, c, 3, 300);
	cr_assert_gt(c[2].term, 0);
	cr_assert_eq(c[1].won, 0);
	teardown(l, c, 3);
}

struct handover_case {
	const char *what;
	const char *successor; /* NULL: the holder dies */
	bool by_handover;
};

/*
 * A scheduler on a slow VM hands the lease over. If its successor could do so at once too, the
 * lease would go round under a load that is too much for any VM.
 */
Test(election, successor_knows_that_it_was_named)
{
	static const struct handover_case cases[] = {
		{ "named", "b", true },
		{ "released to anybody", "", false },
		{ "the holder died", NULL, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_log *l = fake_log_create();
		struct candidate c[2] = { 0 };

		create_pair(l, c);
		cr_expect_not(election_by_handover(c[0].election), "%s", cases[i].what);
		if (cases[i].successor) {
			election_release(c[0].election, cases[i].successor);
		} else {
			fake_drop_calls(c[0].client);
			g_clear_pointer(&c[0].election, election_destroy);
		}
		while (!c[1].term)
			advance(l, &c[1], 1, TICK_MS);
		cr_expect_eq(election_by_handover(c[1].election), cases[i].by_handover, "%s",
			     cases[i].what);
		teardown(l, c, 2);
	}
}

Test(election, missing_successor_is_waited_for_only_briefly)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	candidate_create(&c[1], l, "b");
	advance(l, c, 2, 3000);
	election_release(c[0].election, "gone");
	advance(l, c, 2, 1000);
	cr_assert_gt(c[1].term, 0);
	teardown(l, c, 2);
}

Test(election, suspected_holder_is_replaced_before_its_lease_expires)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	candidate_create(&c[0], l, "a");
	advance(l, c, 1, 500);
	candidate_create(&c[1], l, "b");
	advance(l, c, 2, 3000);
	election_suspect(c[1].election);
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	advance(l, c, 2, 1000);
	cr_assert_gt(c[1].term, 0, "a suspected holder without a renewal is replaced soon");
	teardown(l, c, 2);
}

/* VMs of different sizes: a small one that schedules a large cell cannot keep up. */
Test(election, low_priority_node_lets_others_claim)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { { .low_priority = true }, { 0 } };

	candidate_create(&c[0], l, "weak");
	candidate_create(&c[1], l, "strong");
	advance(l, c, 2, 500);
	cr_assert_eq(c[0].won, 0);
	cr_assert_gt(c[1].term, 0);
	teardown(l, c, 2);
}

Test(election, low_priority_node_claims_if_nobody_else_does)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[1] = { { .low_priority = true } };

	candidate_create(&c[0], l, "weak");
	advance(l, c, 1, 1000);
	cr_assert_eq(c[0].won, 0);
	advance(l, c, 1, 1000);
	cr_assert_gt(c[0].term, 0);
	teardown(l, c, 1);
}

/*
 * The store keeps records for some minutes, so the claim of a holder that has renewed for longer is
 * gone. A node that started then took the lease for free: it claimed at once, and believed that no
 * earlier holder grants leases (rules TWICE and ONE).
 */
Test(election, holder_whose_claim_was_trimmed_keeps_the_lease)
{
	static const uint32_t keep[] = { 1, 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(keep); i++) {
		struct fake_log *l = fake_log_create();
		struct candidate c[2] = { 0 };
		int64_t lost_ms;
		int64_t grants_end_ms;

		candidate_create(&c[0], l, "a/1");
		advance(l, c, 1, 5000);
		fake_trim(l, "lead", 0, fake_record_count(l, "lead", 0) - keep[i]);
		candidate_create(&c[1], l, "b/1");
		advance(l, c, 2, 3000);
		cr_expect_eq(c[1].won, 0, "case %zu", i);
		cr_expect_str_eq(c[1].holder, "a/1", "case %zu", i);
		fake_drop_calls(c[0].client);
		g_clear_pointer(&c[0].election, election_destroy);
		lost_ms = fake_now_ms;
		advance(l, c, 2, ELECTION_LEASE_MS + 500);
		cr_expect_eq(c[1].won, 1, "case %zu", i);
		/* It grants leases for ELECTION_GRANT_MS after its last renewal. */
		grants_end_ms = election_prior_grants_end_ms(c[1].election);
		cr_expect_geq(grants_end_ms,
			      lost_ms - ELECTION_RENEW_MS - TICK_MS + ELECTION_GRANT_MS, "case %zu",
			      i);
		cr_expect_leq(grants_end_ms, lost_ms + ELECTION_GRANT_MS, "case %zu", i);
		teardown(l, c, 2);
	}
}

/* The same while a node follows: it was cut off while the lease changed hands and was trimmed. */
Test(election, trimmed_claim_of_a_newer_holder_is_learnt_from_its_renewals)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[3] = { 0 };

	candidate_create(&c[0], l, "a/1");
	advance(l, c, 1, 500);
	candidate_create(&c[2], l, "c/1");
	advance(l, c, 3, 1000);
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	fake_set_mode(c[2].client, FAKE_REFUSES);
	candidate_create(&c[1], l, "b/1");
	advance(l, c, 3, 5000);
	cr_assert_gt(c[1].term, 0);
	fake_trim(l, "lead", 0, fake_record_count(l, "lead", 0) - 1);
	fake_set_mode(c[2].client, FAKE_OK);
	advance(l, c, 3, 10000);
	cr_expect_eq(c[2].won, 0);
	cr_expect_str_eq(c[2].holder, "b/1");
	cr_expect_gt(c[1].term, 0);
	teardown(l, c, 3);
}

/* All holders before the oldest record are unknown, and may still grant leases. */
Test(election, holders_of_a_trimmed_log_may_grant_leases)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };
	int64_t started_ms;

	candidate_create(&c[0], l, "a/1");
	advance(l, c, 1, 500);
	fake_drop_calls(c[0].client);
	g_clear_pointer(&c[0].election, election_destroy);
	fake_trim(l, "lead", 0, fake_record_count(l, "lead", 0));
	started_ms = fake_now_ms;
	candidate_create(&c[1], l, "b/1");
	while (!c[1].term)
		advance(l, c, 2, TICK_MS);
	cr_expect_geq(election_prior_grants_end_ms(c[1].election), started_ms + ELECTION_GRANT_MS);
	cr_expect_geq(fake_now_ms, started_ms + ELECTION_LEASE_MS, "one of them may renew");
	teardown(l, c, 2);
}

/*
 * Guards against a former scheduler that answers from what it knew before its process was paused,
 * though another node has claimed the lease meanwhile.
 */
Test(election, paused_holder_knows_that_it_may_be_replaced)
{
	static const struct {
		const char *what;
		int64_t pause_ms;
		bool renewal_in_flight; /* sent before the pause, answered after it */
		bool replaced;
	} cases[] = {
		{ "no pause", 0, false, false },
		{ "a busy process", 400, false, false },
		{ "a pause", 700, false, true },
		{ "a long pause", 60000, false, true },
		{ "a renewal from before the pause is stored", 700, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_log *l = fake_log_create();
		struct candidate c[1] = { 0 };

		candidate_create(&c[0], l, "a");
		advance(l, c, 1, 1000);
		cr_assert_gt(c[0].term, 0);
		cr_assert_not(election_may_be_replaced(c[0].election));
		if (cases[i].renewal_in_flight) {
			fake_now_ms += ELECTION_RENEW_MS;
			election_tick(c[0].election);
		}
		fake_now_ms += cases[i].pause_ms;
		cr_expect_eq(election_may_be_replaced(c[0].election), cases[i].replaced, "%s",
			     cases[i].what);
		if (cases[i].renewal_in_flight) {
			fake_serve(l);
			cr_expect(election_may_be_replaced(c[0].election), "%s", cases[i].what);
		}
		advance(l, c, 1, 100);
		cr_expect_not(election_may_be_replaced(c[0].election), "%s: renewed",
			      cases[i].what);
		election_destroy(c[0].election);
		fake_log_destroy(l);
	}
}
