#include <criterion/criterion.h>

#include "fakestore.h"
#include "process/election.h"

#define TICK_MS 100

struct voter {
	struct fake_client *client;
	struct election *election;
	uint64_t term; /* 0 if it is not the scheduler */
	char holder[32];
	uint32_t won;
	uint32_t lost;
	bool low_priority;
	bool silent; /* it doesn't hear of the holder */
};

static void on_won(void *ctx, uint64_t term)
{
	struct voter *v = ctx;

	v->term = term;
	v->won++;
}

static void on_lost(void *ctx, const char *why)
{
	struct voter *v = ctx;

	v->term = 0;
	v->lost++;
}

static void on_holder_changed(void *ctx, const char *address, uint64_t term)
{
	g_strlcpy(((struct voter *)ctx)->holder, address, 32);
}

static bool on_holder_silent(void *ctx)
{
	return ((struct voter *)ctx)->silent;
}

static const struct election_ops ops = { .won = on_won,
					 .lost = on_lost,
					 .holder_changed = on_holder_changed,
					 .holder_silent = on_holder_silent };

static void voter_begin(struct voter *v, struct fake_log *l, const char *name)
{
	struct store store;

	v->client = fake_client_create(l);
	store = fake_store(v->client);
	v->election = election_create(&store, name, name, v->low_priority, &ops, v);
}

static void pass(struct fake_log *l, struct voter *v, int n, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += TICK_MS) {
		fake_now_ms += TICK_MS;
		for (int i = 0; i < n; i++)
			if (v[i].election)
				election_tick(v[i].election);
		fake_serve(l);
	}
}

/* One that holds the lease, and one that follows it. */
static void pair_begin(struct fake_log *l, struct voter *v)
{
	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	voter_begin(&v[1], l, "b");
	pass(l, v, 2, 1000);
}

static int leaders(const struct voter *v, int n)
{
	int count = 0;

	for (int i = 0; i < n; i++)
		count += v[i].term > 0;
	return count;
}

static void end(struct fake_log *l, struct voter *v, int n)
{
	for (int i = 0; i < n; i++)
		election_destroy(v[i].election);
	fake_log_destroy(l);
}

Test(election, one_of_three_wins_and_keeps_it)
{
	struct fake_log *l = fake_log_create();
	struct voter v[3] = { 0 };
	int first;

	for (int i = 0; i < 3; i++)
		voter_begin(&v[i], l, (const char *[]){ "a", "b", "c" }[i]);
	pass(l, v, 3, 500);
	cr_assert_eq(leaders(v, 3), 1);
	first = v[0].term ? 0 : v[1].term ? 1 : 2;
	pass(l, v, 3, 60000);
	cr_assert_eq(leaders(v, 3), 1);
	cr_assert_gt(v[first].term, 0);
	cr_assert_eq(v[0].won + v[1].won + v[2].won, 1);
	end(l, v, 3);
}

Test(election, a_dead_holder_is_replaced_with_a_higher_term)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };
	uint64_t term;

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	term = v[0].term;
	cr_assert_gt(term, 0);
	voter_begin(&v[1], l, "b");
	pass(l, v, 2, 1000);
	g_clear_pointer(&v[0].election, election_destroy);
	fake_drop_calls(v[0].client);
	pass(l, v, 2, ELECTION_LEASE_MS - ELECTION_RENEW_MS - 2 * TICK_MS);
	cr_assert_eq(v[1].term, 0, "not before the lease is over");
	pass(l, v, 2, 2000);
	cr_assert_gt(v[1].term, term);
	end(l, v, 2);
}

/*
 * Pattern: the VM of the scheduler loses power, freezes or is cut off under load; jobs have about a
 * second to spare. Its links are silent too, so that the lease is not waited for.
 */
Test(election, a_silent_holder_is_replaced_soon)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	fake_drop_calls(v[0].client);
	g_clear_pointer(&v[0].election, election_destroy);
	v[1].silent = true;
	pass(l, v, 2, ELECTION_SILENT_LEASE_MS + 300);
	cr_assert_gt(v[1].term, 0);
	end(l, v, 2);
}

/* Links that are cut between two nodes say nothing of a scheduler whose renewals are read. */
Test(election, a_silent_holder_that_renews_stays)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	v[1].silent = true;
	pass(l, v, 2, 10000);
	cr_assert_gt(v[0].term, 0);
	cr_assert_eq(v[1].won, 0);
	end(l, v, 2);
}

/* Pattern: the store turns the scheduler away and serves the others. */
Test(election, a_holder_knows_that_it_is_not_renewed)
{
	struct fake_log *l = fake_log_create();
	struct voter v[1] = { 0 };

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 1000);
	cr_assert(election_renewing(v[0].election));
	fake_mode(v[0].client, FAKE_REFUSES);
	pass(l, v, 1, ELECTION_RENEW_MS + 2 * TICK_MS);
	cr_assert_not(election_renewing(v[0].election));
	fake_mode(v[0].client, FAKE_OK);
	pass(l, v, 1, 1000);
	cr_assert(election_renewing(v[0].election));
	end(l, v, 1);
}

/* The store is away for all: the holder goes on, and nobody claims right after its return. */
Test(election, nobody_claims_right_after_an_outage)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	for (int i = 0; i < 2; i++)
		fake_mode(v[i].client, FAKE_SILENT);
	pass(l, v, 2, 5000);
	cr_assert_gt(v[0].term, 0);
	for (int i = 0; i < 2; i++)
		fake_mode(v[i].client, FAKE_OK);
	pass(l, v, 2, 10000);
	cr_assert_gt(v[0].term, 0);
	cr_assert_eq(v[1].won, 0);
	end(l, v, 2);
}

Test(election, a_holder_without_renewal_gives_up)
{
	struct fake_log *l = fake_log_create();
	struct voter v[1] = { 0 };

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	fake_mode(v[0].client, FAKE_SILENT);
	pass(l, v, 1, ELECTION_STEP_DOWN_MS - 1000);
	cr_assert_gt(v[0].term, 0);
	pass(l, v, 1, 2000);
	cr_assert_eq(v[0].term, 0);
	end(l, v, 1);
}

/* Turned away by the store while it serves the others: it learns of its successor on its return. */
Test(election, a_holder_that_is_turned_away_is_replaced)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	fake_mode(v[0].client, FAKE_REFUSES);
	pass(l, v, 2, 4000);
	cr_assert_gt(v[1].term, 0);
	cr_assert_gt(v[0].term, 0, "it can't know yet; its orders are fenced");
	cr_assert_gt(v[1].term, v[0].term);
	fake_mode(v[0].client, FAKE_OK);
	pass(l, v, 2, 2000);
	cr_assert_eq(v[0].term, 0);
	cr_assert_str_eq(v[0].holder, "b");
	end(l, v, 2);
}

Test(election, a_claim_whose_answer_is_lost)
{
	struct fake_log *l = fake_log_create();
	struct voter v[1] = { 0 };

	voter_begin(&v[0], l, "a");
	fake_mode(v[0].client, FAKE_LOSES_REPLY);
	pass(l, v, 1, 300);
	fake_mode(v[0].client, FAKE_OK);
	pass(l, v, 1, 2000);
	cr_assert_gt(v[0].term, 0);
	cr_assert_eq(v[0].won, 1);
	end(l, v, 1);
}

Test(election, renewals_whose_answers_are_lost)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	fake_mode(v[0].client, FAKE_LOSES_REPLY);
	pass(l, v, 2, 5000);
	fake_mode(v[0].client, FAKE_OK);
	pass(l, v, 2, 5000);
	cr_assert_eq(leaders(v, 2), 1);
	cr_assert_eq(v[1].won, 0, "its renewals were in the log");
	end(l, v, 2);
}

Test(election, a_release_is_taken_up_at_once)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	election_release(v[0].election, "");
	pass(l, v, 2, 500);
	cr_assert(election_handover_done(v[0].election));
	cr_assert_eq(v[0].term, 0);
	cr_assert_gt(v[1].term, 0);
	pass(l, v, 2, 10000);
	cr_assert_eq(v[0].won, 1, "it does not claim again");
	end(l, v, 2);
}

struct past_case {
	const char *what;
	const char *successor; /* node that takes over */
	bool released;
	bool surely; /* the holder grants nothing from then on */
};

/* What a new scheduler knows of the leases that those before it granted. */
Test(election, how_long_earlier_holders_may_grant_leases)
{
	static const struct past_case cases[] = {
		{ "released", "b/1", true, false },
		{ "its node runs a new process", "a/2", false, true },
		{ "not heard of", "b/1", false, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_log *l = fake_log_create();
		struct voter v[2] = { 0 };
		int64_t after_ms;

		voter_begin(&v[0], l, "a/1");
		pass(l, v, 1, 500);
		voter_begin(&v[1], l, cases[i].successor);
		if (cases[i].released)
			election_release(v[0].election, "");
		pass(l, v, cases[i].released ? 2 : 1, 100);
		fake_drop_calls(v[0].client);
		g_clear_pointer(&v[0].election, election_destroy);
		while (!v[1].term)
			pass(l, v, 2, TICK_MS);
		after_ms = election_prior_grants_end_ms(v[1].election) - fake_now_ms;
		cr_expect_eq(after_ms <= 0, cases[i].surely, "%s", cases[i].what);
		cr_expect_leq(after_ms,
			      cases[i].released ? ELECTION_HANDOVER_MS : ELECTION_GRANT_MS, "%s",
			      cases[i].what);
		end(l, v, 2);
	}
}

/*
 * Pattern: VMs are restarted in turn while the store is slow; release, claim and fence took 2.2 s
 * without a scheduler. One that stops goes on until the next has claimed.
 */
Test(election, a_holder_that_stops_goes_on_until_another_claims)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	fake_mode(v[1].client, FAKE_REFUSES);
	election_release(v[0].election, "b");
	pass(l, v, 2, 1000);
	cr_assert_gt(v[0].term, 0);
	cr_assert_not(election_renewing(v[0].election));
	fake_mode(v[1].client, FAKE_OK);
	pass(l, v, 2, 700);
	cr_assert_gt(v[1].term, 0);
	cr_assert_eq(v[0].term, 0);
	cr_assert(election_handover_done(v[0].election));
	end(l, v, 2);
}

/* Pattern: a weak VM claimed first. It hands over, and may claim again when the other is lost. */
Test(election, a_holder_that_yields_may_claim_again)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	pair_begin(l, v);
	election_yield(v[0].election, "b");
	pass(l, v, 2, 500);
	cr_assert_gt(v[1].term, 0);
	cr_assert_eq(v[0].term, 0);
	cr_assert_not(election_handover_done(v[0].election));
	fake_drop_calls(v[1].client);
	g_clear_pointer(&v[1].election, election_destroy);
	pass(l, v, 2, 3000);
	cr_assert_gt(v[0].term, 0);
	end(l, v, 2);
}

Test(election, a_holder_that_stops_does_not_wait_for_long)
{
	struct fake_log *l = fake_log_create();
	struct voter v[1] = { 0 };

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	election_release(v[0].election, "");
	pass(l, v, 1, ELECTION_HANDOVER_MS + 2 * TICK_MS);
	cr_assert_eq(v[0].term, 0);
	cr_assert(election_handover_done(v[0].election));
	end(l, v, 1);
}

/* The process of the holder was killed and starts again on the same node, or on all nodes at once.
 */
Test(election, a_restarted_holder_does_not_wait_for_itself)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	voter_begin(&v[0], l, "a/1");
	pass(l, v, 1, 500);
	voter_begin(&v[1], l, "b/1");
	pass(l, v, 2, 1000);
	g_clear_pointer(&v[0].election, election_destroy);
	fake_drop_calls(v[0].client);
	voter_begin(&v[0], l, "a/2");
	pass(l, v, 2, 300);
	cr_assert_gt(v[0].term, 0);
	end(l, v, 2);
}

Test(election, names_that_begin_alike_are_other_nodes)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	voter_begin(&v[0], l, "a-1/1");
	pass(l, v, 1, 500);
	voter_begin(&v[1], l, "a/1");
	pass(l, v, 2, 1000);
	cr_assert_eq(v[1].won, 0);
	end(l, v, 2);
}

Test(election, the_named_successor_comes_first)
{
	struct fake_log *l = fake_log_create();
	struct voter v[3] = { 0 };

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	voter_begin(&v[1], l, "b");
	voter_begin(&v[2], l, "c");
	pass(l, v, 3, 1000);
	election_release(v[0].election, "c");
	pass(l, v, 3, 300);
	cr_assert_gt(v[2].term, 0);
	cr_assert_eq(v[1].won, 0);
	end(l, v, 3);
}

Test(election, a_successor_that_does_not_claim_is_not_waited_for_long)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	voter_begin(&v[1], l, "b");
	pass(l, v, 2, 3000);
	election_release(v[0].election, "gone");
	pass(l, v, 2, 1000);
	cr_assert_gt(v[1].term, 0);
	end(l, v, 2);
}

Test(election, a_holder_whose_process_has_ended_is_not_waited_for)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { 0 };

	voter_begin(&v[0], l, "a");
	pass(l, v, 1, 500);
	voter_begin(&v[1], l, "b");
	pass(l, v, 2, 3000);
	election_suspect(v[1].election);
	fake_drop_calls(v[0].client);
	g_clear_pointer(&v[0].election, election_destroy);
	pass(l, v, 2, 1000);
	cr_assert_gt(v[1].term, 0, "without a renewal it is replaced soon");
	end(l, v, 2);
}

/* Pattern: VMs of unlike strength. A weak one that schedules a large cell can't keep up. */
Test(election, weak_nodes_leave_it_to_others)
{
	struct fake_log *l = fake_log_create();
	struct voter v[2] = { { .low_priority = true }, { 0 } };

	voter_begin(&v[0], l, "weak");
	voter_begin(&v[1], l, "strong");
	pass(l, v, 2, 500);
	cr_assert_eq(v[0].won, 0);
	cr_assert_gt(v[1].term, 0);
	end(l, v, 2);
}

Test(election, a_weak_node_claims_if_nobody_else_does)
{
	struct fake_log *l = fake_log_create();
	struct voter v[1] = { { .low_priority = true } };

	voter_begin(&v[0], l, "weak");
	pass(l, v, 1, 1000);
	cr_assert_eq(v[0].won, 0);
	pass(l, v, 1, 1000);
	cr_assert_gt(v[0].term, 0);
	end(l, v, 1);
}
