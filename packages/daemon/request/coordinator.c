#define G_LOG_DOMAIN "coordinator"

#include <string.h>

#include "clock.h"
#include "coordinator.h"
#include "log.h"
#include "request/keyclaim.h"

#define RETRY_AFTER_MS 1000

struct coordinator {
	struct coordinator_deps deps;
	struct voter *voter;
	GPtrArray *entry_names; /* entry VMs of this data centre in the last VM list */
	GHashTable *requests;	/* seq -> struct request */
	uint64_t next_seq;
	uint32_t open;
};

/* A non-idempotent request, from the claim of its key to its end. */
struct request {
	struct coordinator *coordinator;
	uint64_t seq;
	struct call *call; /* NULL once cancelled */
	Kw__Call *req;
	struct key_claim claim;
	char *voters[KEY_CLAIM_VOTERS_MAX];
	uint32_t n_voters;
	uint32_t n_expected; /* voters of the key, including those no longer in the VM list */
	struct forward *forward;
	int64_t deadline_ms;
	guint timer;
	bool claim_decided; /* no more votes are awaited */
};

static void request_free(struct request *q)
{
	if (q->timer)
		g_source_remove(q->timer);
	g_hash_table_remove(q->coordinator->requests, &q->seq);
	for (uint32_t i = 0; i < q->n_voters; i++)
		g_free(q->voters[i]);
	kw__call__free_unpacked(q->req, NULL);
	q->coordinator->open--;
	g_free(q);
}

static void report_outcome(struct request *q, enum outcome out)
{
	struct coordinator *co = q->coordinator;
	Kw__VoteFinish finish = KW__VOTE_FINISH__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	finish.key = q->req->key;
	finish.team = q->req->team;
	finish.outcome = (Kw__Outcome)out;
	e.body_case = KW__ENVELOPE__BODY_VOTE_FINISH;
	e.vote_finish = &finish;
	for (uint32_t i = 0; i < q->n_voters; i++) {
		if (g_str_equal(q->voters[i], co->deps.set->name))
			voter_finish(co->voter, q->req->team, q->req->key, out, wall_ms());
		else
			peers_send(co->deps.peers, q->voters[i], &e, 0);
	}
}

static void finish(struct request *q, const struct call_end *e)
{
	if (q->call)
		call_end(q->call, e);
	request_free(q);
}

static void on_begin(void *ctx, const struct call_begin *b)
{
	struct request *q = ctx;

	if (q->call)
		call_begin(q->call, b);
}

static void on_data(void *ctx, GBytes *data)
{
	struct request *q = ctx;

	if (q->call && call_data(q->call, data))
		return;
	forward_credit(q->forward, (uint32_t)g_bytes_get_size(data));
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct request *q = ctx;

	q->forward = NULL;
	report_outcome(q, e->outcome);
	finish(q, e);
}

static const struct call_requester_ops forward_ops = {
	.begin = on_begin,
	.data = on_data,
	.end = on_end,
};

/* Ends a request whose claim wasn't won. */
static void end_not_claimed(struct request *q)
{
	enum outcome out = key_claim_outcome(&q->claim);
	struct call_end e;

	switch (q->claim.state) {
	case KEY_CLAIM_FINISHED:
		call_end_set(&e, out, 409, "claim", q->coordinator->deps.set->name,
			     "the key was used before; its outcome was %s", outcome_name(out));
		break;
	case KEY_CLAIM_REFUSED:
		call_end_set(&e, out, 409, "claim", q->coordinator->deps.set->name,
			     "the key's time is outside of what the coordinator can vouch for");
		break;
	default:
		call_end_set(&e, out, out == OUTCOME_NOT_RUN ? 503 : 409, "claim",
			     q->coordinator->deps.set->name,
			     "the key was not granted by two of its %u voters", q->n_voters);
		break;
	}
	if (out == OUTCOME_NOT_RUN)
		e.retry_after_ms = RETRY_AFTER_MS;
	finish(q, &e);
}

static void handle_claim_state(struct request *q, enum key_claim_state state)
{
	if (state == KEY_CLAIM_WAITING || q->claim_decided)
		return;
	q->claim_decided = true;
	if (q->timer)
		g_source_remove(q->timer);
	q->timer = 0;
	if (state == KEY_CLAIM_WON)
		q->forward = forward_start(&q->coordinator->deps.forward, q->req, 0, q->deadline_ms,
					   &forward_ops, q);
	else
		end_not_claimed(q);
}

static uint32_t find_voter(const struct request *q, const char *name)
{
	for (uint32_t i = 0; i < q->n_voters; i++)
		if (g_str_equal(q->voters[i], name))
			return i;
	return UINT32_MAX;
}

static gboolean on_vote_timeout(gpointer data)
{
	struct request *q = data;
	enum key_claim_state state = KEY_CLAIM_WAITING;

	q->timer = 0;
	for (uint32_t i = 0; i < q->n_voters && state == KEY_CLAIM_WAITING; i++)
		if (!q->claim.vote[i])
			state = key_claim_unreachable(&q->claim, i);
	handle_claim_state(q, state);
	return G_SOURCE_REMOVE;
}

static bool request_remote_vote(struct request *q, const char *name)
{
	Kw__VoteAsk ask = KW__VOTE_ASK__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	ask.seq = q->seq;
	ask.key = q->req->key;
	ask.team = q->req->team;
	ask.claimant = q->coordinator->deps.set->name;
	ask.claim = q->seq;
	e.body_case = KW__ENVELOPE__BODY_VOTE_ASK;
	e.vote_ask = &ask;
	return peers_send(q->coordinator->deps.peers, name, &e, 0);
}

static enum key_claim_state request_vote(struct request *q, uint32_t i)
{
	struct coordinator *co = q->coordinator;
	enum outcome out = OUTCOME_NONE;
	enum vote v;

	if (!g_str_equal(q->voters[i], co->deps.set->name))
		return request_remote_vote(q, q->voters[i]) ? q->claim.state
							    : key_claim_unreachable(&q->claim, i);
	v = voter_ask(co->voter, q->req->team, q->req->key, co->deps.set->name, q->seq, wall_ms(),
		      &out);
	return key_claim_vote(&q->claim, i, v, out);
}

static gboolean on_start_voting(gpointer data)
{
	struct request *q = data;
	enum key_claim_state state = KEY_CLAIM_WAITING;

	q->timer = g_timeout_add(q->coordinator->deps.set->vote_timeout_ms, on_vote_timeout, q);
	for (uint32_t i = 0; i < q->n_voters && state == KEY_CLAIM_WAITING; i++)
		state = request_vote(q, i);
	for (uint32_t i = q->n_voters; i < q->n_expected && state == KEY_CLAIM_WAITING; i++)
		state = key_claim_unreachable(&q->claim, i);
	handle_claim_state(q, state);
	return G_SOURCE_REMOVE;
}

static void on_credit(void *ctx, uint32_t bytes)
{
	struct request *q = ctx;

	if (q->forward)
		forward_credit(q->forward, bytes);
}

/* The request runs on, so that its outcome can be reported to the voters. */
static void on_cancel(void *ctx, bool lost)
{
	struct request *q = ctx;

	q->call = NULL;
	if (q->forward)
		forward_credit(q->forward, q->coordinator->deps.set->credit_bytes);
}

static const struct call_server_ops server_ops = {
	.credit = on_credit,
	.cancel = on_cancel,
};

static void choose_voters(struct request *q)
{
	struct coordinator *co = q->coordinator;
	const char *names[KEY_CLAIM_VOTERS_MAX];

	q->n_voters = (uint32_t)members_rank(co->deps.members, co->deps.set->dc, q->req->key, false,
					     names, KEY_CLAIM_VOTERS_MAX);
	q->n_expected = MIN(voter_count_voters(co->voter, q->req->key), KEY_CLAIM_VOTERS_MAX);
	for (uint32_t i = 0; i < q->n_voters; i++)
		q->voters[i] = g_strdup(names[i]);
}

static void on_call(void *ctx, struct call *c, const Kw__Call *req)
{
	struct coordinator *co = ctx;
	struct request *q = g_new0(struct request, 1);
	struct call_end e;

	q->coordinator = co;
	q->seq = co->next_seq++;
	q->call = c;
	q->req = call_request_copy(req);
	q->deadline_ms = now_ms() + req->deadline_ms;
	co->open++;
	g_hash_table_insert(co->requests, &q->seq, q);
	choose_voters(q);
	if (q->n_voters == 0) {
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "claim", co->deps.set->name,
			     "the VMs of this data centre are not known yet");
		e.retry_after_ms = RETRY_AFTER_MS;
		finish(q, &e);
		return;
	}
	call_serve(c, &server_ops, q);
	key_claim_init(&q->claim, MAX(q->n_voters, q->n_expected));
	q->timer = g_idle_add_full(G_PRIORITY_DEFAULT, on_start_voting, q, NULL);
}

static void on_vote_ask(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__VoteAsk *ask = e->vote_ask;
	struct coordinator *co = ctx;
	Kw__VoteReply reply = KW__VOTE_REPLY__INIT;
	Kw__Envelope out = KW__ENVELOPE__INIT;
	enum outcome outcome = OUTCOME_NONE;

	reply.seq = ask->seq;
	reply.answer = (Kw__VoteAnswer)voter_ask(co->voter, ask->team, ask->key, peer, ask->claim,
						 wall_ms(), &outcome);
	reply.outcome = (Kw__Outcome)outcome;
	out.body_case = KW__ENVELOPE__BODY_VOTE_REPLY;
	out.vote_reply = &reply;
	peers_send(co->deps.peers, peer, &out, 0);
}

static void on_vote_reply(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__VoteReply *r = e->vote_reply;
	struct coordinator *co = ctx;
	struct request *q = g_hash_table_lookup(co->requests, &r->seq);
	uint32_t i = q ? find_voter(q, peer) : UINT32_MAX;

	if (i == UINT32_MAX || q->claim_decided)
		return;
	handle_claim_state(
		q, key_claim_vote(&q->claim, i, (enum vote)r->answer, (enum outcome)r->outcome));
}

static void on_vote_finish(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__VoteFinish *f = e->vote_finish;
	struct coordinator *co = ctx;

	voter_finish(co->voter, f->team, f->key, (enum outcome)f->outcome, wall_ms());
}

struct coordinator *coordinator_create(const struct coordinator_deps *deps)
{
	struct coordinator *co = g_new0(struct coordinator, 1);
	struct voter_conf conf = {
		.self = deps->set->name,
		.start_wall_ms = wall_ms(),
		.guard_ms = deps->set->vote_guard_ms,
		.stale_ms = deps->set->vote_stale_ms,
		.skew_ms = deps->set->vote_skew_ms,
		.keep_ms = deps->set->vote_keep_ms,
		.keys_max = deps->set->vote_keys_max,
	};

	co->deps = *deps;
	co->voter = voter_create(&conf);
	co->entry_names = g_ptr_array_new_with_free_func(g_free);
	co->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	/* Claim numbers must not repeat after a restart. */
	co->next_seq = (uint64_t)g_get_real_time();
	calls_set_handler(deps->forward.calls, KW__CALL_KIND__CALL_ONCE, on_call, co);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_VOTE_ASK, on_vote_ask, co);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_VOTE_REPLY, on_vote_reply, co);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_VOTE_FINISH, on_vote_finish, co);
	return co;
}

void coordinator_destroy(struct coordinator *co)
{
	if (!co)
		return;
	g_hash_table_destroy(co->requests);
	voter_destroy(co->voter);
	g_ptr_array_unref(co->entry_names);
	g_free(co);
}

void coordinator_set_vms(struct coordinator *co, const struct vm *vm, size_t n)
{
	if (vm)
		g_ptr_array_set_size(co->entry_names, 0);
	for (size_t i = 0; i < n; i++)
		if (vm[i].is_entry && strcmp(vm[i].dc, co->deps.set->dc) == 0)
			g_ptr_array_add(co->entry_names, g_strdup(vm[i].name));
	voter_set_list(co->voter, (const char *const *)co->entry_names->pdata, co->entry_names->len,
		       wall_ms());
}

/*
 * If all daemons of the data centre still have the same list, it counts as read again. So a data
 * centre that is cut off from the platform goes on granting keys while all its daemons are up.
 */
void coordinator_confirm_vms(struct coordinator *co)
{
	coordinator_set_vms(co, NULL, 0);
}

uint32_t coordinator_open_count(const struct coordinator *co)
{
	return co->open;
}
