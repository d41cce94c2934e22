#define G_LOG_DOMAIN "links"

#include <string.h>

#include <xxhash.h>

#include "links_priv.h"
#include "log.h"

#define MORE_CPU_RATIO_MILLI 1400 /* a smaller gain is not worth a handover */
#define ADVICE_TIMEOUT_MS    3500 /* longer than the advisor takes for a node's queue of requests */
#define CLOCK_DRIFT_MILLI    20	  /* by which two monotonic clocks may differ in rate: 2% */

/* A node that is linked to this one. */
struct peer {
	struct links *links;
	struct link *link;
	uint64_t number; /* of the link */
	char *name;	 /* NULL before its hello */
	char *dc;
	uint32_t cpu_milli;
	uint64_t load_us;      /* estimated time of its outstanding requests */
	int64_t last_heard_ms; /* last message received, or when it connected */
	int64_t heartbeat_sent_ms;
	bool clock_known;
	int64_t clock_ahead_ms; /* of its clock before this node's, at the least */
	int64_t clock_read_ms;	/* when that was learnt */
	guint drop_source;
};

struct advice_request {
	struct peer *peer;
	uint64_t call;
	uint64_t cost_us;
	int64_t deadline_ms;
};

static void finish_advice(struct links *l, guint i, bool answered, const struct ticket *ticket,
			  size_t n, uint32_t validity_ms)
{
	struct advice_request q = g_array_index(l->advice_request, struct advice_request, i);

	g_array_remove_index_fast(l->advice_request, i);
	if (q.peer)
		q.peer->load_us -= q.cost_us;
	l->ops->advice_received(l->ctx, q.call, answered, ticket, n, validity_ms);
}

static void report_peers(struct links *l)
{
	l->ops->peers_changed(l->ctx, links_peer_count(l));
}

static void drop_peer(struct peer *p)
{
	struct links *l = p->links;
	bool was_named = p->name != NULL;

	/* First, so that what is sent again now doesn't go to this peer. */
	g_ptr_array_remove_fast(l->peer, p);
	for (guint i = l->advice_request->len; i > 0; i--)
		if (g_array_index(l->advice_request, struct advice_request, i - 1).peer == p)
			finish_advice(l, i - 1, false, NULL, 0, 0);
	l->ops->peer_lost(l->ctx, p);
	if (p->drop_source)
		g_source_remove(p->drop_source);
	link_destroy(p->link);
	g_free(p->dc);
	g_free(p->name);
	g_free(p);
	if (was_named)
		report_peers(l);
}

/* The connection to a silent peer may be cut: whatever is sent now would only time out. */
static bool is_silent(const struct peer *p)
{
	return node_now_ms() - p->last_heard_ms > LINKS_HEARTBEAT_TIMEOUT_MS;
}

static void reply_state(struct peer *p, const Cell__StateAsk *ask)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__StateReply m = CELL__STATE_REPLY__INIT;
	enum job_state state = JOB_QUEUED;

	m.call = ask->call;
	m.known = p->links->ops->job_state(p->links->ctx, ask->id, &state);
	m.state = state;
	e.body_case = KW__ENVELOPE__BODY_STATE_REPLY;
	e.state_reply = &m;
	link_send(p->link, &e, 0);
}

static void handle_advice_reply(struct peer *p, const Cell__AdviceReply *m)
{
	struct links *l = p->links;
	g_autofree struct ticket *ticket = g_new0(struct ticket, m->n_ticket + 1);

	for (size_t i = 0; i < m->n_ticket; i++) {
		ticket[i].runner = m->ticket[i]->runner;
		ticket[i].ticket = m->ticket[i]->ticket;
	}
	for (guint i = 0; i < l->advice_request->len; i++) {
		const struct advice_request *q =
			&g_array_index(l->advice_request, struct advice_request, i);

		if (q->call != m->call || q->peer != p)
			continue;
		finish_advice(l, i, m->answered, ticket, m->n_ticket, m->validity_ms);
		return;
	}
}

static int64_t clock_ahead_ms(const struct peer *p, int64_t now_ms)
{
	return p->clock_ahead_ms - (now_ms - p->clock_read_ms) * CLOCK_DRIFT_MILLI / 1000;
}

/* A message that was delayed shows less than the clock does, so the fastest one counts. */
static void note_clock(struct peer *p, int64_t clock_ms)
{
	int64_t now_ms = node_now_ms();

	if (clock_ms <= 0 || clock_ms > JOB_TIME_MAX_MS)
		return;
	if (p->clock_known && clock_ms - now_ms < clock_ahead_ms(p, now_ms))
		return;
	p->clock_known = true;
	p->clock_ahead_ms = clock_ms - now_ms;
	p->clock_read_ms = now_ms;
}

int64_t links_peer_clock_ms(const struct peer *p, int64_t at_ms)
{
	if (!p->clock_known)
		return 0;
	return MAX(at_ms + clock_ahead_ms(p, node_now_ms()), 1);
}

static void handle_hello(struct peer *p, const Cell__LinkHello *m)
{
	struct links *l = p->links;

	g_free(p->name);
	p->name = g_strdup(m->node);
	g_free(p->dc);
	p->dc = g_strdup(m->dc);
	p->cpu_milli = m->cpu_milli;
	note_clock(p, m->clock_ms);
	link_set_frame_max(p->link, LINKS_FRAME_MAX_BYTES);
	log_info("accept", p->name, "linked");
	l->ops->peer_named(l->ctx, p->name);
	report_peers(l);
}

static gboolean on_drop_due(gpointer data)
{
	struct peer *p = data;

	p->drop_source = 0;
	drop_peer(p);
	return G_SOURCE_REMOVE;
}

/* Drops a peer later, as its link is in use. */
static void refuse_peer(struct peer *p, const char *why)
{
	if (p->drop_source)
		return;
	log_warn("accept", p->name, "%s", why);
	p->drop_source = g_idle_add_full(G_PRIORITY_DEFAULT, on_drop_due, p, NULL);
}

static void handle_append(struct peer *p, const Cell__AppendAsk *ask)
{
	struct links *l = p->links;
	size_t size = strlen(ask->key);

	if (size && size <= LINKS_KEY_MAX_BYTES)
		l->ops->append_requested(l->ctx, p->number, ask);
	else
		links_reply_append(l, p->number, ask->call, STORE_REFUSED);
}

static void on_peer_message(void *ctx, struct link *link, const Kw__Envelope *e, uint32_t size)
{
	struct peer *p = ctx;

	if (p->drop_source)
		return;
	p->last_heard_ms = node_now_ms();
	if (e->body_case == KW__ENVELOPE__BODY_LINK_HELLO && *e->link_hello->node)
		handle_hello(p, e->link_hello);
	else if (!p->name)
		refuse_peer(p, "a connection that begins without a valid hello");
	else if (e->body_case == KW__ENVELOPE__BODY_STATE_ASK)
		reply_state(p, e->state_ask);
	else if (e->body_case == KW__ENVELOPE__BODY_ADVICE_REPLY)
		handle_advice_reply(p, e->advice_reply);
	else if (e->body_case == KW__ENVELOPE__BODY_APPEND_ASK)
		handle_append(p, e->append_ask);
	else if (e->body_case == KW__ENVELOPE__BODY_LEAD_BEAT)
		note_clock(p, e->lead_beat->clock_ms);
	else
		p->links->ops->order_replied(p->links->ctx, p, e);
}

static void on_peer_closed(void *ctx, struct link *link, const char *why)
{
	struct peer *p = ctx;

	log_info("link", p->name, "link lost: %s", why);
	drop_peer(p);
}

static const struct link_ops peer_ops = { .message = on_peer_message, .closed = on_peer_closed };

static uint32_t count_unidentified(const struct links *l)
{
	return l->peer->len - links_peer_count(l);
}

/* The connection that has been unidentified for longest, else a peer that is silent. */
static struct peer *find_useless(const struct links *l)
{
	struct peer *found = NULL;

	for (guint i = 0; i < l->peer->len; i++) {
		struct peer *p = l->peer->pdata[i];

		if (p->name && !is_silent(p))
			continue;
		if (!found || (found->name && !p->name) ||
		    (!found->name == !p->name && p->number < found->number))
			found = p;
	}
	return found;
}

/* Makes room for one more connection. */
static bool make_room(struct links *l)
{
	struct peer *p;

	if (l->peer->len < LINKS_MAX && count_unidentified(l) < LINKS_UNIDENTIFIED_MAX)
		return true;
	p = find_useless(l);
	log_warn("accept", p ? p->name : NULL,
		 "too many connections: %u, of which %u without a hello", l->peer->len,
		 count_unidentified(l));
	if (!p)
		return false;
	drop_peer(p);
	return true;
}

void linkpeers_add(struct links *l, GSocketConnection *conn)
{
	const struct link_conf conf = { .frame_max_bytes = LINKS_HELLO_MAX_BYTES,
					.queue_max_bytes = LINKS_QUEUE_MAX_BYTES,
					.received = &l->received,
					.queued = &l->queued };
	struct peer *p;

	if (!make_room(l)) {
		g_io_stream_close(G_IO_STREAM(conn), NULL, NULL);
		return;
	}
	p = g_new0(struct peer, 1);
	links_set_timeouts(conn);
	p->links = l;
	p->number = ++l->last_link;
	p->last_heard_ms = node_now_ms();
	p->link = link_create(conn, &conf, &peer_ops, p);
	g_ptr_array_add(l->peer, p);
}

void links_drop_peers(struct links *l)
{
	while (l->peer->len)
		drop_peer(l->peer->pdata[0]);
}

static struct peer *find_peer(const struct links *l, uint64_t number)
{
	for (guint i = 0; i < l->peer->len; i++) {
		struct peer *p = l->peer->pdata[i];

		if (p->number == number)
			return p;
	}
	return NULL;
}

static void send_append_reply(struct links *l, uint64_t link, Cell__AppendReply *m)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	struct peer *p = find_peer(l, link);

	if (!p)
		return;
	e.body_case = KW__ENVELOPE__BODY_APPEND_REPLY;
	e.append_reply = m;
	link_send(p->link, &e, 0);
}

void links_reply_append(struct links *l, uint64_t link, uint64_t call, enum store_result result)
{
	Cell__AppendReply m = CELL__APPEND_REPLY__INIT;

	m.call = call;
	m.stored = result == STORE_OK;
	m.refused = result == STORE_REFUSED;
	send_append_reply(l, link, &m);
}

void links_reply_rejected(struct links *l, uint64_t link, uint64_t call, uint32_t retry_after_ms)
{
	Cell__AppendReply m = CELL__APPEND_REPLY__INIT;

	m.call = call;
	m.refused = true;
	m.rejected = true;
	m.retry_after_ms = retry_after_ms;
	send_append_reply(l, link, &m);
}

bool links_request_advice(struct links *l, uint64_t call, const char *step,
			  const char *const *runner, size_t n, uint64_t cost_us,
			  uint64_t own_load_us)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__AdviceAsk m = CELL__ADVICE_ASK__INIT;
	struct advice_request q = { .call = call, .cost_us = cost_us };

	for (guint i = 0; i < l->peer->len; i++) {
		struct peer *p = l->peer->pdata[i];

		if (p->name && !is_silent(p) && p->load_us < own_load_us &&
		    (!q.peer || p->load_us < q.peer->load_us))
			q.peer = p;
	}
	if (!q.peer)
		return false;
	m.call = call;
	m.step = (char *)step;
	m.runner = (char **)runner;
	m.n_runner = n;
	e.body_case = KW__ENVELOPE__BODY_ADVICE_ASK;
	e.advice_ask = &m;
	if (!link_send(q.peer->link, &e, 0))
		return false;
	q.deadline_ms = node_now_ms() + ADVICE_TIMEOUT_MS;
	q.peer->load_us += cost_us;
	g_array_append_val(l->advice_request, q);
	return true;
}

/* Rendezvous hashing: a link that comes or goes moves few runners. */
static uint64_t weight(const struct peer *p, const char *dc, const char *runner)
{
	uint64_t hash = XXH3_64bits_withSeed(runner, strlen(runner), g_str_hash(p->name));

	return (hash >> 1) | (g_strcmp0(p->dc, dc) == 0 ? UINT64_C(1) << 63 : 0);
}

struct peer *links_pick_peer(struct links *l, const char *dc, const char *runner, uint32_t rank)
{
	uint64_t below = UINT64_MAX;
	struct peer *best = NULL;
	uint32_t reachable = 0;

	for (guint i = 0; i < l->peer->len; i++) {
		const struct peer *p = l->peer->pdata[i];

		reachable += p->name && !is_silent(p);
	}
	if (reachable == 0)
		return NULL;
	rank %= reachable;
	for (uint32_t i = 0; i <= rank; i++) {
		uint64_t best_weight = 0;
		struct peer *found = NULL;

		for (guint k = 0; k < l->peer->len; k++) {
			struct peer *p = l->peer->pdata[k];
			uint64_t w = p->name && !is_silent(p) ? weight(p, dc, runner) : 0;

			if (w && w < below && w > best_weight) {
				found = p;
				best_weight = w;
			}
		}
		if (!found)
			break;
		best = found;
		below = best_weight;
	}
	return best;
}

uint32_t links_peer_count(const struct links *l)
{
	uint32_t n = 0;

	for (guint i = 0; i < l->peer->len; i++)
		n += ((const struct peer *)l->peer->pdata[i])->name != NULL;
	return n;
}

/* Start time of the process from its name (NODE/START); 0 if the name has none. */
static uint64_t started_at(const char *name)
{
	const char *slash = strrchr(name, '/');

	return slash ? g_ascii_strtoull(slash + 1, NULL, 10) : 0;
}

static bool has_more_cpu(uint32_t cpu_milli, uint32_t than_milli)
{
	return (uint64_t)cpu_milli * 1000 > (uint64_t)than_milli * MORE_CPU_RATIO_MILLI;
}

static bool is_better_successor(const struct peer *p, const struct peer *than)
{
	if (!than || has_more_cpu(p->cpu_milli, than->cpu_milli))
		return true;
	if (has_more_cpu(than->cpu_milli, p->cpu_milli))
		return false;
	return started_at(p->name) > started_at(than->name);
}

const char *links_pick_successor(const struct links *l)
{
	const struct peer *best = NULL;

	for (guint i = 0; i < l->peer->len; i++) {
		const struct peer *p = l->peer->pdata[i];

		if (p->name && !is_silent(p) && is_better_successor(p, best))
			best = p;
	}
	return best ? best->name : "";
}

const char *links_larger_peer(const struct links *l)
{
	const struct peer *best = NULL;

	for (guint i = 0; i < l->peer->len; i++) {
		const struct peer *p = l->peer->pdata[i];

		if (p->name && !is_silent(p) && has_more_cpu(p->cpu_milli, l->cpu_milli) &&
		    is_better_successor(p, best))
			best = p;
	}
	return best ? best->name : NULL;
}

bool links_send_order(struct peer *p, const Kw__Envelope *e)
{
	return link_offer(p->link, e, 0) > 0;
}

void linkpeers_extend_timeouts(struct links *l, int64_t stalled_ms)
{
	for (guint i = 0; i < l->peer->len; i++)
		((struct peer *)l->peer->pdata[i])->last_heard_ms += stalled_ms;
}

static void send_heartbeat(struct links *l, struct peer *p, int64_t now_ms)
{
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Cell__LeadBeat m = CELL__LEAD_BEAT__INIT;

	if (now_ms - p->heartbeat_sent_ms < LINKS_HEARTBEAT_MS)
		return;
	p->heartbeat_sent_ms = now_ms;
	m.term = l->term;
	m.renewed = l->ops->store_reachable(l->ctx);
	e.body_case = KW__ENVELOPE__BODY_LEAD_BEAT;
	e.lead_beat = &m;
	link_send(p->link, &e, 0);
}

static const char *overdue(const struct peer *p, int64_t now_ms)
{
	int64_t silence_ms = now_ms - p->last_heard_ms;

	if (!p->name && silence_ms > LINKS_HELLO_TIMEOUT_MS)
		return "no hello in time";
	return silence_ms > LINKS_SILENT_MAX_MS ? "silent for too long" : NULL;
}

void linkpeers_tick(struct links *l, int64_t now_ms)
{
	for (guint i = 0; i < l->peer->len; i++) {
		struct peer *p = l->peer->pdata[i];
		const char *why = overdue(p, now_ms);

		if (why)
			refuse_peer(p, why);
		else if (p->name)
			send_heartbeat(l, p, now_ms);
	}
	for (guint i = l->advice_request->len; i > 0; i--) {
		const struct advice_request *q =
			&g_array_index(l->advice_request, struct advice_request, i - 1);

		if (q->deadline_ms <= now_ms || is_silent(q->peer))
			finish_advice(l, i - 1, false, NULL, 0, 0);
	}
}

void linkpeers_create(struct links *l)
{
	l->peer = g_ptr_array_new();
	l->advice_request = g_array_new(FALSE, FALSE, sizeof(struct advice_request));
}

void linkpeers_destroy(struct links *l)
{
	links_drop_peers(l);
	g_array_unref(l->advice_request);
	g_ptr_array_unref(l->peer);
}
