#define G_LOG_DOMAIN "election"

#include <string.h>

#include "cell.pb-c.h"
#include "election.h"
#include "log.h"

#define TOPIC		  "lead"
#define READ_WAIT_MS	  2000
#define APPEND_TIMEOUT_MS 900 /* the store answers in 4 ms, 90 times as long when slow */
#define TICK_MS		  50
#define DOUBT_MS	  700 /* an append under way for longer is taken for lost */
#define RETRY_MS	  200 /* after an answer that did not come */
#define SPREAD_MS	  200 /* nodes claim at different times within it */
#define HINT_MS		  400 /* a successor is waited for, and the hint of an end is checked, that long */

struct election {
	struct store store;
	char *self;
	char *address;
	const struct election_ops *ops;
	void *ctx;
	guint timer;
	uint64_t next;		   /* offset to read from, and the end of the log as known */
	char *holder;		   /* self of the holder, NULL for none */
	bool freed;		   /* the holder has released the lease */
	int64_t reserved_until_ms; /* then only its successor may claim */
	int64_t handed_over_ms;	   /* a holder that stops goes on until then */
	char *successor;	   /* for the release */
	uint64_t term;
	bool leading;
	bool closing;
	bool yielding; /* closing for this term only */
	bool release_due;
	bool reading;
	bool appending;
	bool caught_up;	      /* everything that the store has was read */
	bool resync;	      /* read before the next append */
	bool failed;	      /* the last append was not stored, as far as is known */
	int64_t heard_ms;     /* last record of the holder, or since when the store answers */
	int64_t answering_ms; /* 0 while the store does not answer */
	int64_t sent_ms;      /* of the append under way */
	int64_t renewed_ms;   /* when the last acknowledged renewal was sent */
	int64_t retry_ms;
	uint32_t spread_ms;
	bool weak;
	int64_t free_ms; /* since when there is no holder, 0 while there is one */
	int64_t past_ms; /* earlier holders grant no leases after that */
};

/* Whether both are processes of one node, and not the same one. */
static bool same_node(const char *a, const char *b)
{
	const char *slash = strchr(a, '/');
	size_t len = slash ? (size_t)(slash - a) + 1 : 0;

	return len && strncmp(a, b, len) == 0 && !g_str_equal(a, b);
}

/* Whether the holder is an older process of this node. */
static bool holder_is_past(const struct election *e)
{
	return same_node(e->self, e->holder);
}

/* A holder that is neither released nor surely ended grants leases until it notices. */
static void replace_holder(struct election *e, const char *by)
{
	bool ended = !e->holder || same_node(e->holder, by);
	int64_t left_ms = ended ? 0 : e->freed ? ELECTION_HANDOVER_MS : ELECTION_GRANT_MS;

	e->past_ms = MAX(e->past_ms, node_now_ms() + left_ms);
	e->freed = false;
	g_free(e->holder);
	e->holder = g_strdup(by);
}

static void become(struct election *e, uint64_t term, int64_t sent_ms)
{
	e->leading = true;
	e->term = term;
	e->renewed_ms = sent_ms;
	replace_holder(e, e->self);
	log_notice("claim", NULL, "this node is the scheduler, term %" G_GUINT64_FORMAT, term);
	e->ops->won(e->ctx, term);
}

static void step_down(struct election *e, const char *why)
{
	if (!e->leading)
		return;
	e->leading = false;
	e->closing = e->closing && !e->yielding;
	e->yielding = false;
	e->caught_up = false;
	e->heard_ms = node_now_ms();
	g_clear_pointer(&e->holder, g_free);
	log_notice("claim", NULL, "this node is not the scheduler any more: %s", why);
	e->ops->lost(e->ctx, why);
}

static void set_holder(struct election *e, const Cell__Lead *m, uint64_t term)
{
	if (g_str_equal(m->node, e->self) && !e->closing) {
		/* The answer to our own claim was lost. */
		if (!e->leading)
			become(e, term, e->sent_ms);
		return;
	}
	step_down(e, "another node has claimed it");
	replace_holder(e, m->node);
	e->term = term;
	e->ops->holder(e->ctx, m->address, term);
}

/* The holder schedules until another node claims, and is followed until then. */
static void take_release(struct election *e, const Cell__Lead *m)
{
	bool ours = !*m->successor || g_str_equal(m->successor, e->self);

	e->freed = true;
	e->reserved_until_ms = ours ? 0 : node_now_ms() + HINT_MS;
}

static void apply(struct election *e, const struct store_record *rec)
{
	Cell__Lead *m = cell__lead__unpack(NULL, rec->size, rec->value);

	if (!m) {
		log_warn("read", NULL, "unreadable record at offset %" G_GUINT64_FORMAT,
			 rec->offset);
		return;
	}
	if (m->kind == CELL__LEAD_KIND__CLAIM) {
		e->heard_ms = node_now_ms();
		set_holder(e, m, rec->offset + 1);
	} else if (m->kind == CELL__LEAD_KIND__RENEWAL && m->term == e->term) {
		e->heard_ms = node_now_ms();
	} else if (m->kind == CELL__LEAD_KIND__RELEASE && m->term == e->term && !e->leading) {
		take_release(e, m);
	}
	cell__lead__free_unpacked(m, NULL);
}

static void on_read(void *ctx, enum store_result result, const struct store_page *page)
{
	struct election *e = ctx;
	int64_t now = node_now_ms();

	e->reading = false;
	if (result == STORE_TRIMMED) {
		e->next = MAX(page->first, e->next);
		return;
	}
	if (result != STORE_OK) {
		e->answering_ms = 0;
		e->retry_ms = now + RETRY_MS;
		return;
	}
	if (!e->answering_ms)
		e->answering_ms = now;
	e->resync = false;
	for (size_t i = 0; i < page->n; i++) {
		if (page->record[i].offset < e->next)
			continue;
		e->next = page->record[i].offset + 1;
		apply(e, &page->record[i]);
	}
	e->caught_up = e->next >= page->next;
}

static void read_log(struct election *e, uint32_t wait_ms)
{
	e->reading = true;
	e->store.ops->read(e->store.impl, TOPIC, 0, e->next, wait_ms, on_read, e);
}

static void append(struct election *e, Cell__LeadKind kind);

/* A renewal that was under way when the release was asked for comes first. */
static void on_closing_appended(struct election *e, enum store_result result, uint64_t offset)
{
	if (result == STORE_OK)
		e->next = offset + 1;
	if (e->release_due)
		append(e, CELL__LEAD_KIND__RELEASE);
	e->release_due = false;
}

static void on_appended(void *ctx, enum store_result result, uint64_t offset)
{
	struct election *e = ctx;

	e->appending = false;
	e->failed = result != STORE_OK;
	if (e->closing) {
		on_closing_appended(e, result, offset);
		return;
	}
	if (result != STORE_OK) {
		e->retry_ms = node_now_ms() + (result == STORE_ENDS_ELSEWHERE ? 0 : RETRY_MS);
		e->resync = result != STORE_REFUSED;
		e->caught_up = false;
		return;
	}
	if (offset != e->next) {
		e->resync = true;
		return;
	}
	e->next = offset + 1;
	if (!e->leading)
		become(e, offset + 1, e->sent_ms);
	else
		e->renewed_ms = e->sent_ms;
}

static void append(struct election *e, Cell__LeadKind kind)
{
	Cell__Lead m = CELL__LEAD__INIT;
	struct append_terms terms = { .at_end = true, .end = e->next };
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
	e->sent_ms = node_now_ms();
	e->store.ops->append(e->store.impl, TOPIC, 0, records, &terms, APPEND_TIMEOUT_MS,
			     on_appended, e);
}

static bool may_claim(const struct election *e, int64_t now)
{
	/* A store that has just come back has to give the holder time for a renewal. */
	int64_t since = MAX(e->heard_ms, e->answering_ms);

	if (!e->caught_up || !e->answering_ms || e->closing)
		return false;
	if (!e->holder || holder_is_past(e) || (e->freed && now >= e->reserved_until_ms))
		return !e->weak || (e->free_ms && now - e->free_ms > ELECTION_WEAK_MS);
	if (now - since > ELECTION_QUICK_MS + e->spread_ms && e->ops->silent(e->ctx))
		return true;
	return now - since > ELECTION_LEASE_MS + e->spread_ms;
}

/* Reads until another node has claimed. */
static void hand_over(struct election *e, int64_t now)
{
	if (now >= e->handed_over_ms)
		step_down(e, "it stops");
	else if (!e->reading)
		read_log(e, READ_WAIT_MS);
}

static void lead(struct election *e, int64_t now)
{
	if (now - e->renewed_ms > ELECTION_STOP_MS)
		step_down(e, "it was not renewed in time");
	else if (e->closing)
		hand_over(e, now);
	else if (e->resync && !e->reading)
		read_log(e, 0);
	else if (!e->resync && now - e->renewed_ms >= ELECTION_RENEW_MS)
		append(e, CELL__LEAD_KIND__RENEWAL);
}

void election_tick(struct election *e)
{
	int64_t now = node_now_ms();

	if (e->holder && !e->freed && !holder_is_past(e))
		e->free_ms = 0;
	else if (!e->free_ms)
		e->free_ms = now;
	if (e->appending || now < e->retry_ms)
		return;
	if (e->leading)
		lead(e, now);
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
				 bool weak, const struct election_ops *ops, void *ctx)
{
	struct election *e = g_new0(struct election, 1);

	e->store = *store;
	e->self = g_strdup(self);
	e->address = g_strdup(address);
	e->ops = ops;
	e->ctx = ctx;
	e->spread_ms = g_random_int_range(0, SPREAD_MS) + (weak ? ELECTION_WEAK_MS : 0);
	e->weak = weak;
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
	e->closing = true;
	e->handed_over_ms = node_now_ms() + ELECTION_HANDOVER_MS;
	e->release_due = e->leading && e->appending;
	if (e->leading && !e->appending)
		append(e, CELL__LEAD_KIND__RELEASE);
}

void election_release(struct election *e, const char *successor)
{
	e->yielding = false;
	if (!e->closing)
		begin_handover(e, successor);
}

void election_yield(struct election *e, const char *successor)
{
	if (!e->leading || e->closing)
		return;
	e->yielding = true;
	begin_handover(e, successor);
}

void election_suspect(struct election *e)
{
	if (!e->leading)
		e->heard_ms = MIN(e->heard_ms, node_now_ms() - ELECTION_LEASE_MS + HINT_MS);
}

void election_superseded(struct election *e, const char *by)
{
	g_autofree char *why = g_strdup_printf("a newer term was seen by %s", by);

	step_down(e, why);
}

bool election_renewing(const struct election *e)
{
	return !e->failed && !e->closing &&
	       (!e->appending || node_now_ms() - e->sent_ms < DOUBT_MS);
}

int64_t election_renewed_ms(const struct election *e)
{
	return e->renewed_ms;
}

int64_t election_past_ms(const struct election *e)
{
	return e->past_ms;
}

bool election_released(const struct election *e)
{
	return e->closing && !e->leading;
}
