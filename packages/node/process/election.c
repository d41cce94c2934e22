#define G_LOG_DOMAIN "election"

#include <string.h>

#include "cell.pb-c.h"
#include "election.h"
#include "log.h"

#define TOPIC		  "lead"
#define READ_WAIT_MS	  2000
#define APPEND_TIMEOUT_MS 900 /* the store answers in 4 ms, a slow one in 90 times that */
#define TICK_MS		  50
#define APPEND_SUSPECT_MS 700 /* an append in flight for longer counts as lost */
#define RETRY_MS	  200 /* after a refusal or a timeout */
#define JITTER_MS	  200 /* spreads the claims of several nodes */
/* How long the named successor, or a renewal of a suspected holder, is waited for. */
#define SUCCESSOR_WAIT_MS 400
#define PRIOR_HOLDERS_MAX 8 /* of older ones only the latest end of their grants is kept */

/* An earlier holder, which may still run. */
struct prior_holder {
	char *self;
	int64_t grants_end_ms; /* it grants no leases after that */
};

struct election {
	struct store store;
	char *self;
	char *address;
	const struct election_ops *ops;
	void *ctx;
	guint timer;
	uint64_t next_offset;	   /* offset to read from: the known end of the log */
	char *holder;		   /* self of the holder, NULL for none */
	bool holder_unknown;	   /* its claim was trimmed from the log, and no renewal read yet */
	bool holder_released;	   /* the holder has released the lease */
	bool named;		   /* its release names this node as the successor */
	bool by_handover;	   /* this node got the lease that way */
	int64_t reserved_until_ms; /* until then only the named successor may claim */
	int64_t handover_deadline_ms; /* this node stops scheduling by then */
	char *successor;	      /* named in the release */
	uint64_t term;
	bool leading;
	bool releasing;
	bool yielding;	  /* the release is for this term only */
	bool release_due; /* once the append in flight is answered */
	bool reading;
	bool appending;
	bool caught_up;		   /* has read up to the end of the log */
	bool resync;		   /* has to read before the next append */
	bool append_failed;	   /* the last append was not stored, as far as is known */
	int64_t holder_heard_ms;   /* last claim or renewal that was read */
	int64_t store_up_since_ms; /* 0 while the store does not answer */
	int64_t append_sent_ms;	   /* of the append in flight */
	Cell__LeadKind append_kind;
	int64_t renewed_ms; /* when the last acknowledged renewal was sent */
	int64_t ticked_ms;
	int64_t paused_until_ms; /* the process didn't run before; 0 once a renewal is stored */
	int64_t retry_ms;
	uint32_t jitter_ms;
	bool low_priority;
	int64_t vacant_since_ms;     /* since when the lease is free, 0 while it is held */
	int64_t renewal_read_ms;     /* when a claim or renewal of the holder was read last */
	GArray *prior_holder;	     /* of struct prior_holder, oldest first */
	int64_t prior_grants_end_ms; /* the same of holders that were in it before */
};

/* Whether a and b (NODE/START) are different processes of the same node. */
static bool other_process_of_node(const char *a, const char *b)
{
	const char *slash = strchr(a, '/');
	size_t len = slash ? (size_t)(slash - a) + 1 : 0;

	return len && strncmp(a, b, len) == 0 && !g_str_equal(a, b);
}

/* Whether the holder is an earlier process of this node. */
static bool holder_is_predecessor(const struct election *e)
{
	return e->holder && other_process_of_node(e->self, e->holder);
}

static void clear_prior_holder(gpointer data)
{
	g_free(((struct prior_holder *)data)->self);
}

/*
 * A holder that may still run grants leases to runners until it notices that it was replaced. Its
 * last acknowledged renewal was sent before this node read it.
 */
static int64_t grants_end_of_holder(const struct election *e, const char *by)
{
	if (other_process_of_node(e->holder, by))
		return node_now_ms();
	return e->holder_released ? node_now_ms() + ELECTION_HANDOVER_MS
				  : e->renewal_read_ms + ELECTION_GRANT_MS;
}

static void add_prior_holder(struct election *e, const char *by)
{
	const struct prior_holder h = { .self = g_strdup(e->holder),
					.grants_end_ms = grants_end_of_holder(e, by) };

	if (e->prior_holder->len == PRIOR_HOLDERS_MAX) {
		e->prior_grants_end_ms =
			MAX(e->prior_grants_end_ms,
			    g_array_index(e->prior_holder, struct prior_holder, 0).grants_end_ms);
		g_array_remove_index(e->prior_holder, 0);
	}
	g_array_append_val(e->prior_holder, h);
}

static void replace_holder(struct election *e, const char *by)
{
	if (e->holder)
		add_prior_holder(e, by);
	else
		e->prior_grants_end_ms = MAX(e->prior_grants_end_ms, node_now_ms());
	e->holder_released = false;
	e->named = false;
	e->holder_unknown = false;
	g_free(e->holder);
	e->holder = g_strdup(by);
	e->renewal_read_ms = node_now_ms();
}

/* Others may claim the lease of a holder that is silent for longer. */
static void note_pause(struct election *e, int64_t now)
{
	if (e->leading && now - e->ticked_ms > ELECTION_SILENT_LEASE_MS - ELECTION_RENEW_MS)
		e->paused_until_ms = now;
	e->ticked_ms = now;
}

bool election_may_be_replaced(struct election *e)
{
	note_pause(e, node_now_ms());
	return e->leading && e->paused_until_ms;
}

static void become_leader(struct election *e, uint64_t term, int64_t append_sent_ms)
{
	e->leading = true;
	e->term = term;
	e->renewed_ms = append_sent_ms;
	e->paused_until_ms = 0;
	e->by_handover = e->named;
	replace_holder(e, e->self);
	log_notice("claim", NULL, "this node is the scheduler, term %" G_GUINT64_FORMAT, term);
	e->ops->won(e->ctx, term);
}

static void step_down(struct election *e, const char *why)
{
	if (!e->leading)
		return;
	e->leading = false;
	e->releasing = e->releasing && !e->yielding;
	e->yielding = false;
	e->caught_up = false;
	e->holder_heard_ms = node_now_ms();
	g_clear_pointer(&e->holder, g_free);
	log_notice("claim", NULL, "this node is no longer the scheduler: %s", why);
	e->ops->lost(e->ctx, why);
}

static void apply_holder(struct election *e, const Cell__Lead *m, uint64_t term)
{
	step_down(e, "another node has claimed the lease");
	replace_holder(e, m->node);
	e->term = term;
	e->ops->holder_changed(e->ctx, m->address, term);
}

/* If this node's own claim is read while it doesn't lead, the answer to it was lost. */
static void apply_claim(struct election *e, const Cell__Lead *m, uint64_t term)
{
	if (!g_str_equal(m->node, e->self) || e->releasing)
		apply_holder(e, m, term);
	else if (!e->leading)
		become_leader(e, term, e->append_sent_ms);
}

/* The holder keeps scheduling until another node claims the lease, so it stays the holder here. */
static void apply_release(struct election *e, const Cell__Lead *m)
{
	bool ours = !*m->successor || g_str_equal(m->successor, e->self);

	e->holder_released = true;
	e->named = g_str_equal(m->successor, e->self);
	e->reserved_until_ms = ours ? 0 : node_now_ms() + SUCCESSOR_WAIT_MS;
}

static void apply(struct election *e, const struct store_record *rec)
{
	Cell__Lead *m = cell__lead__unpack(NULL, rec->size, rec->value);

	if (!m) {
		log_warn("read", NULL, "unreadable record at offset %" G_GUINT64_FORMAT,
			 rec->offset);
		return;
	}
	/* The claim of this term was trimmed before it was read. */
	if (m->kind != CELL__LEAD_KIND__CLAIM && m->term > e->term &&
	    !g_str_equal(m->node, e->self))
		apply_holder(e, m, m->term);
	if (m->kind == CELL__LEAD_KIND__CLAIM) {
		e->holder_heard_ms = node_now_ms();
		apply_claim(e, m, rec->offset + 1);
	} else if (m->kind == CELL__LEAD_KIND__RENEWAL && m->term == e->term) {
		e->holder_heard_ms = node_now_ms();
		e->renewal_read_ms = node_now_ms();
	} else if (m->kind == CELL__LEAD_KIND__RELEASE && m->term == e->term && !e->leading) {
		apply_release(e, m);
	}
	cell__lead__free_unpacked(m, NULL);
}

/* The holders named in these records are not known, and the last one may still renew. */
static void skip_trimmed(struct election *e, uint64_t oldest_offset, int64_t now)
{
	e->next_offset = MAX(oldest_offset, e->next_offset);
	e->prior_grants_end_ms = MAX(e->prior_grants_end_ms, now + ELECTION_GRANT_MS);
	e->holder_unknown = !e->holder;
	e->holder_heard_ms = now;
	e->renewal_read_ms = now;
}

static void on_read(void *ctx, enum store_result result, const struct store_page *page)
{
	struct election *e = ctx;
	int64_t now = node_now_ms();

	e->reading = false;
	if (result == STORE_TRIMMED) {
		skip_trimmed(e, page->oldest_offset, now);
		return;
	}
	if (result != STORE_OK) {
		e->store_up_since_ms = 0;
		e->retry_ms = now + RETRY_MS;
		return;
	}
	if (!e->store_up_since_ms)
		e->store_up_since_ms = now;
	e->resync = false;
	for (size_t i = 0; i < page->n; i++) {
		if (page->record[i].offset < e->next_offset)
			continue;
		e->next_offset = page->record[i].offset + 1;
		apply(e, &page->record[i]);
	}
	e->caught_up = e->next_offset >= page->next_offset;
}

static void read_log(struct election *e, uint32_t wait_ms)
{
	e->reading = true;
	e->store.ops->read(e->store.impl, TOPIC, 0, e->next_offset, wait_ms, STORE_PAGE_BYTES,
			   on_read, e);
}

static void append(struct election *e, Cell__LeadKind kind);

/* A release waits for the answer to a renewal that was in flight. */
static void on_releasing_appended(struct election *e, enum store_result result, uint64_t offset)
{
	if (result == STORE_OK)
		e->next_offset = offset + 1;
	if (e->release_due)
		append(e, CELL__LEAD_KIND__RELEASE);
	e->release_due = false;
}

/* A renewal that was sent before a pause doesn't tell whether another node has claimed since. */
static void renewed(struct election *e)
{
	e->renewed_ms = e->append_sent_ms;
	if (e->append_sent_ms >= e->paused_until_ms)
		e->paused_until_ms = 0;
}

static void on_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct election *e = ctx;

	e->appending = false;
	e->append_failed = result != STORE_OK;
	if (e->releasing) {
		on_releasing_appended(e, result, offset);
		return;
	}
	if (result != STORE_OK) {
		e->retry_ms = node_now_ms() + (result == STORE_END_MISMATCH ? 0 : RETRY_MS);
		e->resync = result != STORE_REFUSED;
		e->caught_up = false;
		return;
	}
	if (offset != e->next_offset) {
		e->resync = true;
		return;
	}
	e->next_offset = offset + 1;
	/* A renewal or release may be answered after this node has stepped down. */
	if (e->leading)
		renewed(e);
	else if (e->append_kind == CELL__LEAD_KIND__CLAIM)
		become_leader(e, offset + 1, e->append_sent_ms);
}

static void append(struct election *e, Cell__LeadKind kind)
{
	Cell__Lead m = CELL__LEAD__INIT;
	struct append_cond cond = { .check_end = true, .expected_end = e->next_offset };
	g_autoptr(GPtrArray) records = g_ptr_array_new();
	g_autofree uint8_t *buf = NULL;
	struct log_record rec = { NULL };

	m.kind = kind;
	m.node = e->self;
	m.address = e->address;
	m.term = e->term;
	if (kind == CELL__LEAD_KIND__RELEASE)
		m.successor = e->successor;
	rec.size = cell__lead__get_packed_size(&m);
	buf = g_malloc(rec.size + 1);
	cell__lead__pack(&m, buf);
	rec.value = buf;
	g_ptr_array_add(records, &rec);
	e->appending = true;
	e->append_kind = kind;
	e->append_sent_ms = node_now_ms();
	e->store.ops->append(e->store.impl, TOPIC, 0, records, &cond, APPEND_TIMEOUT_MS,
			     on_appended, e);
}

static bool may_claim(const struct election *e, int64_t now)
{
	/* After an outage of the store the holder needs time to renew. */
	int64_t since = MAX(e->holder_heard_ms, e->store_up_since_ms);

	if (!e->caught_up || !e->store_up_since_ms || e->releasing)
		return false;
	if ((!e->holder && !e->holder_unknown) || holder_is_predecessor(e) ||
	    (e->holder_released && now >= e->reserved_until_ms))
		return !e->low_priority ||
		       (e->vacant_since_ms && now - e->vacant_since_ms > ELECTION_LOW_PRIORITY_MS);
	if (now - since > ELECTION_SILENT_LEASE_MS + e->jitter_ms && e->ops->holder_silent(e->ctx))
		return true;
	return now - since > ELECTION_LEASE_MS + e->jitter_ms;
}

/* Reads the log until another node has claimed the lease. */
static void tick_handover(struct election *e, int64_t now)
{
	if (now >= e->handover_deadline_ms)
		step_down(e, "it is shutting down or yielding");
	else if (!e->reading)
		read_log(e, READ_WAIT_MS);
}

static void tick_leader(struct election *e, int64_t now)
{
	if (now - e->renewed_ms > ELECTION_STEP_DOWN_MS)
		step_down(e, "the lease was not renewed in time");
	else if (e->releasing)
		tick_handover(e, now);
	else if (e->resync && !e->reading)
		read_log(e, 0);
	else if (!e->resync && now - e->renewed_ms >= ELECTION_RENEW_MS)
		append(e, CELL__LEAD_KIND__RENEWAL);
}

void election_tick(struct election *e)
{
	int64_t now = node_now_ms();

	note_pause(e, now);
	if (e->holder_unknown || (e->holder && !e->holder_released && !holder_is_predecessor(e)))
		e->vacant_since_ms = 0;
	else if (!e->vacant_since_ms)
		e->vacant_since_ms = now;
	if (e->appending || now < e->retry_ms)
		return;
	if (e->leading)
		tick_leader(e, now);
	else if (may_claim(e, now))
		append(e, CELL__LEAD_KIND__CLAIM);
	else if (!e->reading)
		read_log(e, e->caught_up ? READ_WAIT_MS : 0);
}

static gboolean on_tick(gpointer data)
{
	election_tick(data);
	return G_SOURCE_CONTINUE;
}

struct election *election_create(const struct store *store, const char *self, const char *address,
				 bool low_priority, const struct election_ops *ops, void *ctx)
{
	struct election *e = g_new0(struct election, 1);

	e->store = *store;
	e->self = g_strdup(self);
	e->address = g_strdup(address);
	e->ops = ops;
	e->ctx = ctx;
	e->jitter_ms =
		g_random_int_range(0, JITTER_MS) + (low_priority ? ELECTION_LOW_PRIORITY_MS : 0);
	e->low_priority = low_priority;
	e->prior_holder = g_array_new(FALSE, FALSE, sizeof(struct prior_holder));
	g_array_set_clear_func(e->prior_holder, clear_prior_holder);
	return e;
}

void election_start(struct election *e)
{
	if (!e->timer)
		e->timer = g_timeout_add(TICK_MS, on_tick, e);
	election_tick(e);
}

void election_destroy(struct election *e)
{
	if (!e)
		return;
	if (e->timer)
		g_source_remove(e->timer);
	g_array_unref(e->prior_holder);
	g_free(e->successor);
	g_free(e->holder);
	g_free(e->address);
	g_free(e->self);
	g_free(e);
}

static void begin_handover(struct election *e, const char *successor)
{
	g_free(e->successor);
	e->successor = g_strdup(successor);
	e->releasing = true;
	e->handover_deadline_ms = node_now_ms() + ELECTION_HANDOVER_MS;
	e->release_due = e->leading && e->appending;
	if (e->leading && !e->appending)
		append(e, CELL__LEAD_KIND__RELEASE);
}

void election_release(struct election *e, const char *successor)
{
	e->yielding = false;
	if (!e->releasing)
		begin_handover(e, successor);
}

void election_yield(struct election *e, const char *successor)
{
	if (!e->leading || e->releasing)
		return;
	e->yielding = true;
	begin_handover(e, successor);
}

void election_suspect(struct election *e)
{
	if (!e->leading)
		e->holder_heard_ms = MIN(e->holder_heard_ms,
					 node_now_ms() - ELECTION_LEASE_MS + SUCCESSOR_WAIT_MS);
}

void election_superseded(struct election *e, const char *by)
{
	g_autofree char *why = g_strdup_printf("a newer term was seen by %s", by);

	step_down(e, why);
}

bool election_by_handover(const struct election *e)
{
	return e->leading && e->by_handover;
}

bool election_renewing(const struct election *e)
{
	return !e->append_failed && !e->releasing &&
	       (!e->appending || node_now_ms() - e->append_sent_ms < APPEND_SUSPECT_MS);
}

int64_t election_grants_end_ms(const struct election *e)
{
	int64_t end_ms = e->renewed_ms + ELECTION_GRANT_MS;

	return e->releasing ? MIN(end_ms, e->handover_deadline_ms) : end_ms;
}

int64_t election_prior_grants_end_ms(const struct election *e)
{
	int64_t end_ms = e->prior_grants_end_ms;

	for (guint i = 0; i < e->prior_holder->len; i++)
		end_ms = MAX(end_ms,
			     g_array_index(e->prior_holder, struct prior_holder, i).grants_end_ms);
	return end_ms;
}

static int64_t start_of(const char *self)
{
	const char *slash = strchr(self, '/');

	return slash ? g_ascii_strtoll(slash + 1, NULL, 10) : 0;
}

void election_process_started(struct election *e, const char *self)
{
	for (guint i = 0; i < e->prior_holder->len; i++) {
		struct prior_holder *h = &g_array_index(e->prior_holder, struct prior_holder, i);

		if (other_process_of_node(h->self, self) && start_of(h->self) < start_of(self))
			h->grants_end_ms = MIN(h->grants_end_ms, node_now_ms());
	}
}

bool election_handover_done(const struct election *e)
{
	return e->releasing && !e->leading;
}
