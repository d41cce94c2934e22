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
	bool holder_silent; /* it doesn't hear of the holder */
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

/* One that holds the lease, and one that follows it. */
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

Test(election, one_of_three_wins_and_keeps_it)
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

Test(election, a_dead_holder_is_replaced_with_a_higher_term)
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
	cr_assert_eq(c[1].term, 0, "not before the lease is over");
	advance(l, c, 2, 2000);
	cr_assert_gt(c[1].term, term);
	teardown(l, c, 2);
}

/*
 * Pattern: the VM of the scheduler loses power, freezes or is cut off under load; jobs have about a
 * second to spare. Its links are silent too, so that the lease is not waited for.
 */
Test(election, a_silent_holder_is_replaced_soon)
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

/* Links that are cut between two nodes say nothing of a scheduler whose renewals are read. */
Test(election, a_silent_holder_that_renews_stays)
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

/* Pattern: the store turns the scheduler away and serves the others. */
Test(election, a_holder_knows_that_it_is_not_renewed)
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

/* The store is away for all: the holder goes on, and nobody claims right after its return. */
Test(election, nobody_claims_right_after_an_outage)
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

Test(election, a_holder_without_renewal_gives_up)
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

/* Turned away by the store while it serves the others: it learns of its successor on its return. */
Test(election, a_holder_that_is_turned_away_is_replaced)
{
	struct fake_log *l = fake_log_create();
	struct candidate c[2] = { 0 };

	create_pair(l, c);
	fake_set_mode(c[0].client, FAKE_REFUSES);
	advance(l, c, 2, 4000);
	cr_assert_gt(c[1].term, 0);
	cr_assert_gt(c[0].term, 0, "it can't know yet; its orders are fenced");
	cr_assert_gt(c[1].term, c[0].term);
	fake_set_mode(c[0].client, FAKE_OK);
	advance(l, c, 2, 2000);
	cr_assert_eq(c[0].term, 0);
	cr_assert_str_eq(c[0].holder, "b");
	teardown(l, c, 2);
}

Test(election, a_claim_whose_answer_is_lost)
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

Test(election, renewals_whose_answers_are_lost)
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

Test(election, a_release_is_taken_up_at_once)
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
	const char *successor; /* node that takes over */
	bool released;
	bool no_grants_left; /* the holder grants nothing from then on */
};

/* What a new scheduler knows of the leases that those before it granted. */
Test(election, how_long_earlier_holders_may_grant_leases)
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
 * Pattern: VMs are restarted in turn while the store is slow; release, claim and fence took 2.2 s
 * without a scheduler. One that stops goes on until the next has claimed.
 */
Test(election, a_holder_that_stops_goes_on_until_another_claims)
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

/* Pattern: a weak VM claimed first. It hands over, and may claim again when the other is lost. */
Test(election, a_holder_that_yields_may_claim_again)
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

Test(election, a_holder_that_stops_does_not_wait_for_long)
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
 * The process of the holder was killed and starts again on the same node, or on all nodes at once.
 */
Test(election, a_restarted_holder_does_not_wait_for_itself)
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

Test(election, names_that_begin_alike_are_other_nodes)
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

Test(election, the_named_successor_comes_first)
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

Test(election, a_successor_that_does_not_claim_is_not_waited_for_long)
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

Test(election, a_holder_whose_process_has_ended_is_not_waited_for)
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
	cr_assert_gt(c[1].term, 0, "without a renewal it is replaced soon");
	teardown(l, c, 2);
}

/* Pattern: VMs of unlike strength. A weak one that schedules a large cell can't keep up. */
Test(election, weak_nodes_leave_it_to_others)
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

Test(election, a_weak_node_claims_if_nobody_else_does)
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
