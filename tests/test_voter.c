#include <glib.h>

#include <criterion/criterion.h>

#include "request/keyclaim.h"

#define CLAIMANTS 2
#define T0	  1000000
#define GUARD_MS  100

static const struct voter_conf conf = {
	.start_wall_ms = T0,
	.guard_ms = GUARD_MS,
	.skew_ms = 20,
	.keep_ms = 1000,
	.keys_max = 8,
};

static void key_at(int64_t wall_ms, uint8_t n, char key[UUID7_TEXT_BYTES])
{
	uint8_t random[10] = { n, n, n, n, n, n, n, n, n, n };

	uuid7_make(wall_ms, random, key);
}

/*
 * Explores every order of vote requests, replies, lost messages and finishes for two claimants of
 * one key at three voters, each of which may restart once. Guards against both claimants winning
 * the key, and against a loser that reports its work as not run. A state is reached by replaying
 * its events.
 */
enum kind { ASK, LOSE_ASK, REPLY, LOSE_REPLY, RESTART, FINISH };

struct event {
	uint8_t kind, claimant, voter;
};

struct world {
	struct voter *voter[KEY_CLAIM_VOTERS_MAX];
	struct key_claim claim[CLAIMANTS];
	enum vote reply[CLAIMANTS][KEY_CLAIM_VOTERS_MAX];
	enum outcome reply_out[CLAIMANTS][KEY_CLAIM_VOTERS_MAX];
	bool asked[CLAIMANTS][KEY_CLAIM_VOTERS_MAX];
	bool done[CLAIMANTS][KEY_CLAIM_VOTERS_MAX]; /* reply received or lost */
	bool restarted[KEY_CLAIM_VOTERS_MAX], finished[KEY_CLAIM_VOTERS_MAX];
};

struct search {
	GHashTable *seen; /* encoded states */
	struct event path[64];
	size_t depth;
	size_t states, wins, finishes;
	bool violated;
};

static char the_key[UUID7_TEXT_BYTES];

static void play(struct world *w, const struct event *e)
{
	struct voter_conf late = conf;
	struct key_claim *c = &w->claim[e->claimant];
	uint8_t v = e->voter;
	static const char *const names[CLAIMANTS] = { "d1/1", "d2/1" };

	switch (e->kind) {
	case ASK:
		w->asked[e->claimant][v] = true;
		w->reply[e->claimant][v] = voter_ask(w->voter[v], "t", the_key, names[e->claimant],
						     1, T0 + 160, &w->reply_out[e->claimant][v]);
		break;
	case LOSE_ASK:
		w->asked[e->claimant][v] = true;
		/* fall through */
	case LOSE_REPLY:
		w->done[e->claimant][v] = true;
		key_claim_unreachable(c, v);
		break;
	case REPLY:
		w->done[e->claimant][v] = true;
		key_claim_vote(c, v, w->reply[e->claimant][v], w->reply_out[e->claimant][v]);
		break;
	case RESTART:
		late.start_wall_ms = T0 + 150;
		voter_destroy(w->voter[v]);
		w->voter[v] = voter_create(&late);
		w->restarted[v] = true;
		break;
	case FINISH:
		w->finished[v] = true;
		break;
	}
}

static void replay(const struct search *s, struct world *w)
{
	memset(w, 0, sizeof(*w));
	for (int v = 0; v < KEY_CLAIM_VOTERS_MAX; v++)
		w->voter[v] = voter_create(&conf);
	for (int c = 0; c < CLAIMANTS; c++)
		key_claim_init(&w->claim[c], KEY_CLAIM_VOTERS_MAX);
	for (size_t i = 0; i < s->depth; i++) {
		const struct event *e = &s->path[i];

		play(w, e);
		if (e->kind == FINISH)
			voter_finish(w->voter[e->voter], "t", the_key, OUTCOME_DONE, T0 + 160);
	}
}

static bool possible(const struct world *w, const struct event *e)
{
	bool asked = w->asked[e->claimant][e->voter];
	bool waits = w->claim[e->claimant].state == KEY_CLAIM_WAITING;
	bool won = w->claim[0].state == KEY_CLAIM_WON || w->claim[1].state == KEY_CLAIM_WON;

	switch (e->kind) {
	case ASK:
		return !asked;
	case LOSE_ASK:
		return !asked && waits;
	case REPLY:
	case LOSE_REPLY:
		return asked && waits && !w->done[e->claimant][e->voter];
	case RESTART:
		return !e->claimant && !w->restarted[e->voter];
	default:
		return !e->claimant && won && !w->finished[e->voter];
	}
}

static gint compare_codes(gconstpointer a, gconstpointer b)
{
	const uint32_t *x = a;
	const uint32_t *y = b;

	return *x < *y ? -1 : *x > *y;
}

/*
 * Encodes what the possible next events depend on: the answer of each voter and what each claimant
 * has received. Voters are interchangeable, so their codes are sorted.
 */
static uint64_t encode(const struct world *w)
{
	uint32_t each[KEY_CLAIM_VOTERS_MAX] = { 0 };
	uint64_t code = w->claim[0].state * 5 + w->claim[1].state;
	enum outcome out;

	for (int v = 0; v < KEY_CLAIM_VOTERS_MAX; v++) {
		enum vote free = voter_ask(w->voter[v], "t", the_key, "probe", 1, T0 + 160, &out);
		enum vote own = voter_ask(w->voter[v], "t", the_key, "d1/1", 1, T0 + 160, &out);

		each[v] = free * 8 + own;
		each[v] = each[v] * 4 + w->restarted[v] * 2 + w->finished[v];
		for (int c = 0; c < CLAIMANTS; c++) {
			bool waits = w->claim[c].state == KEY_CLAIM_WAITING;
			uint32_t vote = w->done[c][v] ? w->claim[c].vote[v] % 8U : w->reply[c][v];

			each[v] = each[v] * 8 + (waits ? vote : 0);
			each[v] = each[v] * 4 + w->asked[c][v] * 2 + (waits && w->done[c][v]);
		}
	}
	qsort(each, KEY_CLAIM_VOTERS_MAX, sizeof(each[0]), compare_codes);
	for (int v = 0; v < KEY_CLAIM_VOTERS_MAX; v++)
		code = code << 18 | each[v];
	return code;
}

static void check(struct search *s, const struct world *w)
{
	int won = 0;

	for (int c = 0; c < CLAIMANTS; c++)
		won += w->claim[c].state == KEY_CLAIM_WON;
	if (won > 1)
		s->violated = true;
	for (int c = 0; c < CLAIMANTS; c++) {
		bool over = w->claim[c].state != KEY_CLAIM_WAITING &&
			    w->claim[c].state != KEY_CLAIM_WON;

		s->finishes += w->claim[c].state == KEY_CLAIM_FINISHED;
		if (over && won && key_claim_outcome(&w->claim[c]) == OUTCOME_NOT_RUN)
			s->violated = true;
	}
	s->wins += won;
	s->states++;
}

static void explore(struct search *s)
{
	struct world w;
	uint64_t code;

	replay(s, &w);
	check(s, &w);
	for (int k = ASK; k <= FINISH; k++)
		for (uint8_t i = 0; i < CLAIMANTS * KEY_CLAIM_VOTERS_MAX; i++) {
			struct event e = { (uint8_t)k, i % CLAIMANTS, i / CLAIMANTS };
			struct world next;

			if (s->violated || !possible(&w, &e))
				continue;
			s->path[s->depth++] = e;
			replay(s, &next);
			code = encode(&next);
			for (int v = 0; v < KEY_CLAIM_VOTERS_MAX; v++)
				voter_destroy(next.voter[v]);
			if (g_hash_table_add(s->seen, g_memdup2(&code, sizeof(code))))
				explore(s);
			s->depth--;
		}
	for (int v = 0; v < KEY_CLAIM_VOTERS_MAX; v++)
		voter_destroy(w.voter[v]);
}

Test(voter, at_most_one_claimant_wins_in_every_order)
{
	struct search s = { 0 };

	key_at(T0 + 140, 1, the_key);
	s.seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	explore(&s);
	cr_assert_not(s.violated, "invariant violated at depth %zu after %zu states", s.depth,
		      s.states);
	cr_log_info("%zu states", s.states);
	cr_assert_gt(s.wins, 10000);
	cr_assert_gt(s.finishes, 1000);
	g_hash_table_destroy(s.seen);
}

/*
 * On the list, daemon C of A, B and C is replaced by D. Each voter reads the new list at once,
 * late, or never because it is cut off from the platform; a claimant at once or never. Two
 * claimants ask the voters on their own list and each can't reach one of them. Guards against both
 * winning the key with majorities of different voters.
 */
enum view { VIEW_PROMPT, VIEW_LATE, VIEW_CUT, VIEWS };

#define DAEMONS	  4
#define CHANGE_MS (T0 + 400)
#define LAG_MS	  70
#define ASK_STEPS 4U
#define STEP_MS	  40

static const char *const before[] = { "A", "B", "C" };
static const char *const after[] = { "A", "B", "D" };

struct change_case {
	int64_t key_ms, ask_ms[CLAIMANTS];
	enum view view[DAEMONS];
	bool sees[CLAIMANTS];
	uint32_t unreachable[CLAIMANTS]; /* index into the claimant's list */
};

static void read_list(struct voter *v, enum view view, int64_t now_ms)
{
	int64_t seen_ms = CHANGE_MS + (view == VIEW_PROMPT ? 0 : LAG_MS);

	if (now_ms < seen_ms)
		voter_set_list(v, before, 3, now_ms);
	else if (view == VIEW_CUT)
		voter_set_list(v, before, 3, seen_ms - 1);
	else
		voter_set_list(v, after, 3, seen_ms);
	if (now_ms >= seen_ms && view != VIEW_CUT)
		voter_set_list(v, after, 3, now_ms);
}

static int wins_across_change(const struct change_case *c)
{
	struct voter *voter[DAEMONS];
	struct key_claim claim[CLAIMANTS];
	char key[UUID7_TEXT_BYTES];
	enum outcome out;

	key_at(c->key_ms, 1, key);
	for (int d = 0; d < DAEMONS; d++) {
		const char name[] = { (char)('A' + d), '\0' };
		struct voter_conf own = conf;

		own.self = name;
		own.stale_ms = GUARD_MS - LAG_MS;
		voter[d] = voter_create(&own);
		voter_set_list(voter[d], before, 3, T0);
	}
	for (int i = 0; i < CLAIMANTS; i++) {
		const char *const *set = c->sees[i] && c->ask_ms[i] >= CHANGE_MS ? after : before;

		key_claim_init(&claim[i], KEY_CLAIM_VOTERS_MAX);
		for (uint32_t v = 0; v < KEY_CLAIM_VOTERS_MAX; v++) {
			int d = set[v][0] - 'A';
			enum vote vote;

			if (v == c->unreachable[i])
				continue;
			read_list(voter[d], c->view[d], c->ask_ms[i]);
			vote = voter_ask(voter[d], "t", key, "c", (uint64_t)i, c->ask_ms[i], &out);
			key_claim_vote(&claim[i], v, vote, out);
		}
	}
	for (int d = 0; d < DAEMONS; d++)
		voter_destroy(voter[d]);
	return (claim[0].state == KEY_CLAIM_WON) + (claim[1].state == KEY_CLAIM_WON);
}

/* Removes the lowest digit of *n in base and returns it. */
static uint32_t digit(uint32_t *n, uint32_t base)
{
	uint32_t d = *n % base;

	*n /= base;
	return d;
}

static struct change_case nth_change(int64_t key_ms, uint32_t n)
{
	struct change_case c = { .key_ms = key_ms };
	int64_t ask_ms = key_ms;

	for (int d = 0; d < DAEMONS; d++)
		c.view[d] = (enum view)digit(&n, VIEWS);
	for (int i = 0; i < CLAIMANTS; i++) {
		c.sees[i] = digit(&n, 2);
		c.unreachable[i] = digit(&n, KEY_CLAIM_VOTERS_MAX);
		ask_ms += (int64_t)digit(&n, ASK_STEPS) * STEP_MS;
		c.ask_ms[i] = ask_ms;
	}
	return c;
}

Test(voter, at_most_one_claimant_wins_across_a_change_of_the_list)
{
	const uint32_t cases = 81 * 4 * 9 * ASK_STEPS * ASK_STEPS;
	int wins = 0;

	for (int64_t key = T0 + 340; key <= T0 + 580; key += 20)
		for (uint32_t n = 0; n < cases; n++) {
			struct change_case c = nth_change(key, n);
			int won = wins_across_change(&c);

			cr_assert_leq(won, 1, "key %d, asks %d and %d, case %u", (int)(key - T0),
				      (int)(c.ask_ms[0] - T0), (int)(c.ask_ms[1] - T0), n);
			wins += won;
		}
	cr_assert_gt(wins, 10000);
}

struct ask_case {
	const char *name;
	int64_t key_ms, ask_ms;
	const char *claimant;
	uint8_t key;
	enum vote want;
};

Test(voter, votes_on_keys)
{
	static const struct ask_case cases[] = {
		{ "first", 500, 500, "x", 1, VOTE_KEY_GRANTED },
		{ "the same claim again", 500, 501, "x", 1, VOTE_KEY_GRANTED },
		{ "another claimant", 500, 501, "y", 1, VOTE_KEY_TAKEN },
		{ "another key", 500, 501, "y", 2, VOTE_KEY_GRANTED },
		{ "made just before the start and its guard", 99, 501, "x", 3, VOTE_KEY_TOO_OLD },
		{ "made just after", 100, 501, "x", 4, VOTE_KEY_GRANTED },
		{ "ahead by the skew", 521, 501, "x", 5, VOTE_KEY_GRANTED },
		{ "ahead by more", 522, 501, "x", 6, VOTE_KEY_TOO_NEW },
		{ "one more", 500, 501, "x", 7, VOTE_KEY_GRANTED },
		{ "one more", 500, 501, "x", 8, VOTE_KEY_GRANTED },
		{ "one more", 500, 501, "x", 9, VOTE_KEY_GRANTED },
		{ "one more", 500, 501, "x", 10, VOTE_KEY_GRANTED },
		{ "table full", 500, 501, "x", 11, VOTE_KEY_FULL },
		{ "finished", 500, 502, "y", 2, VOTE_KEY_FINISHED },
		{ "expired and so refused", 500, 1522, "y", 1, VOTE_KEY_TOO_OLD },
		{ "not full any more", 1500, 1522, "y", 12, VOTE_KEY_GRANTED },
		{ "clock set back", 500, 600, "y", 1, VOTE_KEY_TOO_OLD },
	};
	struct voter *v = voter_create(&conf);
	enum outcome out;
	char key[UUID7_TEXT_BYTES];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct ask_case *c = &cases[i];
		enum vote vote;

		key_at(T0 + c->key_ms, c->key, key);
		if (c->want == VOTE_KEY_FINISHED)
			voter_finish(v, "t", key, OUTCOME_FAILED, T0 + c->ask_ms);
		vote = voter_ask(v, "t", key, c->claimant, 1, T0 + c->ask_ms, &out);
		cr_expect_eq(vote, c->want, "%s: %d", c->name, vote);
		cr_expect_eq(out, vote == VOTE_KEY_FINISHED ? OUTCOME_FAILED : OUTCOME_NONE);
	}
	cr_expect_eq(voter_ask(v, "t", "no uuid", "x", 1, T0 + 600, &out), VOTE_KEY_TOO_OLD);
	voter_destroy(v);
}

struct claim_case {
	uint32_t voters;
	uint8_t vote[KEY_CLAIM_VOTERS_MAX];
	enum key_claim_state state;
	enum outcome outcome;	      /* to report if others know the key */
	enum outcome own_key_outcome; /* to report if the key was made for this claim */
};

Test(voter, tally_of_votes)
{
	enum {
		G = VOTE_KEY_GRANTED,
		T = VOTE_KEY_TAKEN,
		O = VOTE_KEY_TOO_OLD,
		F = VOTE_KEY_FINISHED,
		U = KEY_CLAIM_UNREACHABLE
	};
	static const struct claim_case cases[] = {
		{ 3, { G, G }, KEY_CLAIM_WON },
		{ 3, { G, T }, KEY_CLAIM_WAITING },
		{ 3, { G, T, U }, KEY_CLAIM_LOST, OUTCOME_UNKNOWN, OUTCOME_NOT_RUN },
		{ 3, { U, U, G }, KEY_CLAIM_LOST, OUTCOME_UNKNOWN, OUTCOME_NOT_RUN },
		{ 3, { O, O, G }, KEY_CLAIM_REFUSED, OUTCOME_UNKNOWN, OUTCOME_NOT_RUN },
		{ 3, { T, F }, KEY_CLAIM_FINISHED, OUTCOME_DONE, OUTCOME_DONE },
		{ 2, { G, U }, KEY_CLAIM_LOST, OUTCOME_UNKNOWN, OUTCOME_NOT_RUN },
		{ 2, { G, G }, KEY_CLAIM_WON },
		{ 1, { G }, KEY_CLAIM_WON },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct claim_case *p = &cases[i];
		struct key_claim c;

		key_claim_init(&c, p->voters);
		for (uint32_t v = 0; v < p->voters; v++)
			if (p->vote[v] == U)
				key_claim_unreachable(&c, v);
			else if (p->vote[v])
				key_claim_vote(&c, v, (enum vote)p->vote[v], OUTCOME_DONE);
		cr_expect_eq(c.state, p->state, "case %zu: %d", i, c.state);
		if (c.state == KEY_CLAIM_WON || c.state == KEY_CLAIM_WAITING)
			continue;
		cr_expect_eq(key_claim_outcome(&c), p->outcome, "case %zu", i);
		c.own_key = true;
		cr_expect_eq(key_claim_outcome(&c), p->own_key_outcome, "case %zu", i);
	}
}

Test(voter, count_includes_voters_that_left)
{
	static const char *const one[] = { "A" };
	struct voter_conf own = conf;
	struct voter *v;
	char key[UUID7_TEXT_BYTES];

	own.self = "A";
	own.stale_ms = 200;
	v = voter_create(&own);
	key_at(T0 + 300, 1, key);
	cr_expect_eq(voter_count_voters(v, key), 3);
	voter_set_list(v, before, 3, T0);
	voter_set_list(v, one, 1, T0 + 250);
	cr_expect_eq(voter_count_voters(v, key), 3);
	key_at(T0 + 350, 1, key);
	cr_expect_eq(voter_count_voters(v, key), 1);
	voter_finish(v, "t", key, OUTCOME_DONE, T0 + 451);
	cr_expect_eq(voter_count_voters(v, key), 3, "list read too long ago");
	voter_destroy(v);
}

Test(voter, uuid7_round_trip)
{
	static const char *const wrong[] = { "",
					     "01890a5d-ac96-774b-bcce-b302099a805",
					     "01890a5d-ac96-474b-bcce-b302099a8057",
					     "01890a5d-ac96-774b-3cce-b302099a8057",
					     "01890a5dxac96-774b-bcce-b302099a8057",
					     "01890a5d-ac96-774b-bcce-b302099a80570" };
	char key[UUID7_TEXT_BYTES];
	int64_t ms;

	key_at(1234567890123, 0xff, key);
	cr_assert(uuid7_time_ms(key, &ms));
	cr_expect_eq(ms, 1234567890123);
	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		cr_expect_not(uuid7_time_ms(wrong[i], &ms), "%s", wrong[i]);
}
