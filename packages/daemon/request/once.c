#define G_LOG_DOMAIN "once"

#include <string.h>

#include "clock.h"
#include "log.h"
#include "once.h"
#include "request/claim.h"

#define COME_BACK_MS 1000

struct once {
	struct once_deps deps;
	struct voter *voter;
	GPtrArray *listed;  /* names of this data centre's daemons in the last list */
	GHashTable *claims; /* seq -> struct attempt, while votes are awaited */
	uint64_t next_seq;
	uint32_t open;
};

/* One request of a non-idempotent service, from its claim to its end. */
struct attempt {
	struct once *once;
	uint64_t seq;
	struct call *call; /* NULL when nobody asks any more */
	Kw__Call *req;
	struct claim claim;
	char *voters[CLAIM_VOTERS_MAX];
	uint32_t n_voters;
	uint32_t set_size; /* voters to count, listed or not any more */
	struct forward *forward;
	int64_t deadline_ms;
	guint timer;
	bool settled; /* the claim is decided */
};

static void attempt_free(struct attempt *a)
{
	if (a->timer)
		g_source_remove(a->timer);
	g_hash_table_remove(a->once->claims, &a->seq);
	for (uint32_t i = 0; i < a->n_voters; i++)
		g_free(a->voters[i]);
	kw__call__free_unpacked(a->req, NULL);
	a->once->open--;
	g_free(a);
}

static void tell_voters(struct attempt *a, enum outcome out)
{
	struct once *o = a->once;
	Kw__VoteFinish finish = KW__VOTE_FINISH__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	finish.key = a->req->key;
	finish.team = a->req->team;
	finish.outcome = (Kw__Outcome)out;
	e.body_case = KW__ENVELOPE__BODY_VOTE_FINISH;
	e.vote_finish = &finish;
	for (uint32_t i = 0; i < a->n_voters; i++) {
		if (g_str_equal(a->voters[i], o->deps.set->name))
			voter_finish(o->voter, a->req->team, a->req->key, out, wall_ms());
		else
			peers_send(o->deps.peers, a->voters[i], &e, 0);
	}
}

static void finish(struct attempt *a, const struct call_end *e)
{
	if (a->call)
		call_end(a->call, e);
	attempt_free(a);
}

static void on_begin(void *ctx, const struct call_begin *b)
{
	struct attempt *a = ctx;

	if (a->call)
		call_begin(a->call, b);
}

static void on_data(void *ctx, GBytes *data)
{
	struct attempt *a = ctx;

	if (a->call && call_data(a->call, data))
		return;
	forward_credit(a->forward, (uint32_t)g_bytes_get_size(data));
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct attempt *a = ctx;

	a->forward = NULL;
	tell_voters(a, e->outcome);
	finish(a, e);
}

static const struct call_requester_ops run_ops = {
	.begin = on_begin,
	.data = on_data,
	.end = on_end,
};

/* Why a claim that did not win gets no start. */
static void end_unclaimed(struct attempt *a)
{
	enum outcome out = claim_outcome(&a->claim);
	struct call_end e;

	switch (a->claim.state) {
	case CLAIM_FINISHED:
		call_end_set(&e, out, 409, "claim", a->once->deps.set->name,
			     "the key was used before; its outcome was %s", outcome_name(out));
		break;
	case CLAIM_REFUSED:
		call_end_set(&e, out, 409, "claim", a->once->deps.set->name,
			     "the key's time is outside of what the coordinator can vouch for");
		break;
	default:
		call_end_set(&e, out, out == OUTCOME_NOT_RUN ? 503 : 409, "claim",
			     a->once->deps.set->name,
			     "the key was not granted by two of its %u voters", a->n_voters);
		break;
	}
	if (out == OUTCOME_NOT_RUN)
		e.retry_after_ms = COME_BACK_MS;
	finish(a, &e);
}

static void settle(struct attempt *a, enum claim_state state)
{
	if (state == CLAIM_WAITING || a->settled)
		return;
	a->settled = true;
	if (a->timer)
		g_source_remove(a->timer);
	a->timer = 0;
	if (state == CLAIM_WON)
		a->forward = forward_start(&a->once->deps.forward, a->req, 0, a->deadline_ms,
					   &run_ops, a);
	else
		end_unclaimed(a);
}

static uint32_t find_voter(const struct attempt *a, const char *name)
{
	for (uint32_t i = 0; i < a->n_voters; i++)
		if (g_str_equal(a->voters[i], name))
			return i;
	return UINT32_MAX;
}

static gboolean on_votes_late(gpointer data)
{
	struct attempt *a = data;
	enum claim_state state = CLAIM_WAITING;

	a->timer = 0;
	for (uint32_t i = 0; i < a->n_voters && state == CLAIM_WAITING; i++)
		if (!a->claim.vote[i])
			state = claim_unreachable(&a->claim, i);
	settle(a, state);
	return G_SOURCE_REMOVE;
}

static bool ask_remote(struct attempt *a, const char *name)
{
	Kw__VoteAsk ask = KW__VOTE_ASK__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	ask.seq = a->seq;
	ask.key = a->req->key;
	ask.team = a->req->team;
	ask.claimant = a->once->deps.set->name;
	ask.claim = a->seq;
	e.body_case = KW__ENVELOPE__BODY_VOTE_ASK;
	e.vote_ask = &ask;
	return peers_send(a->once->deps.peers, name, &e, 0);
}

static enum claim_state ask(struct attempt *a, uint32_t i)
{
	struct once *o = a->once;
	enum outcome out = OUTCOME_NONE;
	enum vote v;

	if (!g_str_equal(a->voters[i], o->deps.set->name))
		return ask_remote(a, a->voters[i]) ? a->claim.state
						   : claim_unreachable(&a->claim, i);
	v = voter_ask(o->voter, a->req->team, a->req->key, o->deps.set->name, a->seq, wall_ms(),
		      &out);
	return claim_vote(&a->claim, i, v, out);
}

static gboolean on_first_votes(gpointer data)
{
	struct attempt *a = data;
	enum claim_state state = CLAIM_WAITING;

	a->timer = g_timeout_add(a->once->deps.set->vote_timeout_ms, on_votes_late, a);
	for (uint32_t i = 0; i < a->n_voters && state == CLAIM_WAITING; i++)
		state = ask(a, i);
	for (uint32_t i = a->n_voters; i < a->set_size && state == CLAIM_WAITING; i++)
		state = claim_unreachable(&a->claim, i);
	settle(a, state);
	return G_SOURCE_REMOVE;
}

static void on_credit(void *ctx, uint32_t bytes)
{
	struct attempt *a = ctx;

	if (a->forward)
		forward_credit(a->forward, bytes);
}

/* The run goes on, so that its outcome gets known to the voters. */
static void on_cancel(void *ctx, bool lost)
{
	struct attempt *a = ctx;

	a->call = NULL;
	if (a->forward)
		forward_credit(a->forward, a->once->deps.set->credit_bytes);
}

static const struct call_server_ops server_ops = {
	.credit = on_credit,
	.cancel = on_cancel,
};

static void choose_voters(struct attempt *a)
{
	struct once *o = a->once;
	const char *names[CLAIM_VOTERS_MAX];

	a->n_voters = (uint32_t)members_rank(o->deps.members, o->deps.set->dc, a->req->key, false,
					     names, CLAIM_VOTERS_MAX);
	a->set_size = MIN(voter_count_voters(o->voter, a->req->key), CLAIM_VOTERS_MAX);
	for (uint32_t i = 0; i < a->n_voters; i++)
		a->voters[i] = g_strdup(names[i]);
}

static void on_call(void *ctx, struct call *c, const Kw__Call *req)
{
	struct once *o = ctx;
	struct attempt *a = g_new0(struct attempt, 1);
	struct call_end e;

	a->once = o;
	a->seq = o->next_seq++;
	a->call = c;
	a->req = call_request_copy(req);
	a->deadline_ms = now_ms() + req->deadline_ms;
	o->open++;
	g_hash_table_insert(o->claims, &a->seq, a);
	choose_voters(a);
	if (a->n_voters == 0) {
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "claim", o->deps.set->name,
			     "the VMs of this data centre are not known yet");
		e.retry_after_ms = COME_BACK_MS;
		finish(a, &e);
		return;
	}
	call_serve(c, &server_ops, a);
	claim_init(&a->claim, MAX(a->n_voters, a->set_size));
	a->timer = g_idle_add_full(G_PRIORITY_DEFAULT, on_first_votes, a, NULL);
}

static void on_vote_ask(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__VoteAsk *q = e->vote_ask;
	struct once *o = ctx;
	Kw__VoteReply reply = KW__VOTE_REPLY__INIT;
	Kw__Envelope out = KW__ENVELOPE__INIT;
	enum outcome outcome = OUTCOME_NONE;

	reply.seq = q->seq;
	reply.answer = (Kw__VoteAnswer)voter_ask(o->voter, q->team, q->key, peer, q->claim,
						 wall_ms(), &outcome);
	reply.outcome = (Kw__Outcome)outcome;
	out.body_case = KW__ENVELOPE__BODY_VOTE_REPLY;
	out.vote_reply = &reply;
	peers_send(o->deps.peers, peer, &out, 0);
}

static void on_vote_reply(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__VoteReply *r = e->vote_reply;
	struct once *o = ctx;
	struct attempt *a = g_hash_table_lookup(o->claims, &r->seq);
	uint32_t i = a ? find_voter(a, peer) : UINT32_MAX;

	if (i == UINT32_MAX || a->settled)
		return;
	settle(a, claim_vote(&a->claim, i, (enum vote)r->answer, (enum outcome)r->outcome));
}

static void on_vote_finish(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__VoteFinish *f = e->vote_finish;
	struct once *o = ctx;

	voter_finish(o->voter, f->team, f->key, (enum outcome)f->outcome, wall_ms());
}

struct once *once_create(const struct once_deps *deps)
{
	struct once *o = g_new0(struct once, 1);
	struct voter_conf conf = {
		.self = deps->set->name,
		.start_wall_ms = wall_ms(),
		.guard_ms = deps->set->vote_guard_ms,
		.stale_ms = deps->set->vote_stale_ms,
		.skew_ms = deps->set->vote_skew_ms,
		.keep_ms = deps->set->vote_keep_ms,
		.keys_max = deps->set->vote_keys_max,
	};

	o->deps = *deps;
	o->voter = voter_create(&conf);
	o->listed = g_ptr_array_new_with_free_func(g_free);
	o->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
	/* A claim number must not come again after a restart. */
	o->next_seq = (uint64_t)g_get_real_time();
	calls_set_handler(deps->forward.calls, KW__CALL_KIND__CALL_ONCE, on_call, o);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_VOTE_ASK, on_vote_ask, o);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_VOTE_REPLY, on_vote_reply, o);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_VOTE_FINISH, on_vote_finish, o);
	return o;
}

void once_destroy(struct once *o)
{
	if (!o)
		return;
	g_hash_table_destroy(o->claims);
	voter_destroy(o->voter);
	g_ptr_array_unref(o->listed);
	g_free(o);
}

void once_vms(struct once *o, const struct vm *vm, size_t n)
{
	if (vm)
		g_ptr_array_set_size(o->listed, 0);
	for (size_t i = 0; i < n; i++)
		if (vm[i].is_entry && strcmp(vm[i].dc, o->deps.set->dc) == 0)
			g_ptr_array_add(o->listed, g_strdup(vm[i].name));
	voter_set_list(o->voter, (const char *const *)o->listed->pdata, o->listed->len, wall_ms());
}

/*
 * A list that nobody here has seen change is as good as read again, so a data centre that is cut
 * off from the platform goes on granting keys while all its daemons are there.
 */
void once_list_agreed(struct once *o)
{
	once_vms(o, NULL, 0);
}

uint32_t once_open_count(const struct once *o)
{
	return o->open;
}
