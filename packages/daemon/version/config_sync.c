#define G_LOG_DOMAIN "config"

#include <string.h>

#include "fields.h"
#include "clock.h"
#include "config_sync.h"
#include "log.h"
#include "version/config_json.h"

#define STREAM		     "config"
#define CACHE_RECORDS	     256
#define RECORDS_ASK_DELAY_MS 500
#define SNAPSHOT_RECORDS     1024
#define SNAPSHOT_CHECK_MS    10000
#define PUBLISH_WAIT_MS	     5000
#define RETRY_AFTER_MS	     2000

struct cached_record {
	uint64_t offset;
	GBytes *data;
};

struct change_callback {
	config_sync_change_fn fn;
	void *ctx;
};

/* A publish request whose record is being appended or awaited. */
struct publish {
	struct config_sync *config_sync;
	SoupServerMessage *msg;
	uint64_t nonce;
	uint64_t offset;
	bool has_offset;
	guint timer;
};

/* Context of an append; the publish may have been answered before it ends. */
struct publish_append {
	struct config_sync *config_sync;
	uint64_t nonce;
};

struct config_sync {
	const struct settings *set;
	struct platform *platform;
	struct peers *peers;
	struct config *current;
	struct tail *tail;
	GQueue cache; /* of struct cached_record, in order of offsets */
	GArray *on_change;
	GPtrArray *publishes;
	int64_t behind_since_ms;
	int64_t records_asked_ms;
	uint64_t records_since_snapshot;
	int64_t snapshot_due_ms; /* of the next one; moved on when any snapshot is read */
	guint snapshot_timer;
	bool loaded; /* see config_sync_loaded() */
};

static void cached_record_free(gpointer data)
{
	struct cached_record *cached = data;

	g_bytes_unref(cached->data);
	g_free(cached);
}

static void notify_change(struct config_sync *c)
{
	for (guint i = 0; i < c->on_change->len; i++) {
		struct change_callback *cb =
			&g_array_index(c->on_change, struct change_callback, i);

		cb->fn(cb->ctx, c->current);
	}
}

static void publish_free(gpointer data)
{
	struct publish *p = data;

	if (p->timer)
		g_source_remove(p->timer);
	g_object_unref(p->msg);
	g_free(p);
}

static void reply_problem(struct publish *p, const struct call_end *e)
{
	http_reply_problem(p->msg, e);
	soup_server_message_unpause(p->msg);
	g_ptr_array_remove_fast(p->config_sync->publishes, p);
}

static void reply_accepted(struct publish *p, uint64_t version)
{
	g_autofree char *text = g_strdup_printf("{\"offset\":%" G_GUINT64_FORMAT
						",\"version\":%" G_GUINT64_FORMAT "}",
						p->offset, version);

	http_reply_json(p->msg, SOUP_STATUS_OK, text);
	soup_server_message_unpause(p->msg);
	g_ptr_array_remove_fast(p->config_sync->publishes, p);
}

/* Answers the publish whose record was just read. st has the reason if it was rejected. */
static void publish_applied(struct config_sync *c, uint64_t offset, uint64_t nonce,
			    const struct status *st)
{
	uint64_t version = config_nonce_version(c->current, nonce);
	struct call_end e;

	for (guint i = 0; i < c->publishes->len; i++) {
		struct publish *p = c->publishes->pdata[i];

		if (p->nonce != nonce || (p->has_offset && p->offset != offset))
			continue;
		p->offset = offset;
		if (version)
			reply_accepted(p, version);
		else
			reply_problem(p, call_end_set(&e, OUTCOME_NOT_RUN,
						      st->code == STATUS_CONFLICT ? 409 : 422,
						      "publish", st->peer, "%s", st->message));
		return;
	}
}

static void cache_record(struct config_sync *c, uint64_t offset, const uint8_t *data, size_t size)
{
	struct cached_record *cached = g_new0(struct cached_record, 1);

	cached->offset = offset;
	cached->data = g_bytes_new(data, size);
	g_queue_push_tail(&c->cache, cached);
	if (g_queue_get_length(&c->cache) > CACHE_RECORDS)
		cached_record_free(g_queue_pop_head(&c->cache));
}

static void set_current(struct config_sync *c, struct config *next)
{
	bool changed = config_version(next) != config_version(c->current);

	g_assert(config_version(next) >= config_version(c->current));
	config_unref(c->current);
	c->current = next;
	if (changed)
		notify_change(c);
}

/*
 * Each daemon waits for a different time after the last snapshot, so that usually only one appends
 * the next.
 */
static void schedule_snapshot(struct config_sync *c)
{
	uint32_t period_ms = c->set->snapshot_ms;

	c->records_since_snapshot = 0;
	c->snapshot_due_ms = now_ms() + period_ms + g_str_hash(c->set->name) % (period_ms / 4);
}

static void apply(struct config_sync *c, uint64_t offset, const uint8_t *data, size_t size)
{
	struct status st = STATUS_INIT;
	uint64_t before = config_next_offset(c->current);

	if (offset < before)
		return;
	set_current(c, config_apply(c->current, offset, data, size, &st));
	if (config_next_offset(c->current) != offset + 1) {
		/* A snapshot was installed; continue reading where it ends. */
		if (config_next_offset(c->current) > before)
			tail_seek(c->tail, config_next_offset(c->current));
		return;
	}
	cache_record(c, offset, data, size);
	c->records_since_snapshot++;
	if (config_record_nonce(data, size) == 0)
		schedule_snapshot(c);
	if (st.code != STATUS_OK)
		log_info("apply", st.peer, "record %" G_GUINT64_FORMAT " rejected: %s", offset,
			 st.message);
	publish_applied(c, offset, config_record_nonce(data, size), &st);
}

static void on_record(void *ctx, uint64_t offset, const uint8_t *data, size_t size)
{
	struct config_sync *c = ctx;

	apply(c, offset, data, size);
}

static void on_snapshot_appended(void *ctx, enum append_result result, uint64_t offset,
				 const char *why)
{
	if (result != APPEND_OK)
		log_warn("snapshot", "platform", "snapshot not appended: %s", why);
}

/* Appends a snapshot, so that the platform can drop the records before it. */
static void append_snapshot(struct config_sync *c)
{
	g_autofree uint8_t *data = NULL;
	size_t size;

	c->records_since_snapshot = 0;
	data = config_encode_snapshot(c->current, &size);
	platform_append(c->platform, STREAM, data, size, on_snapshot_appended, c);
}

/* Also appends snapshots to an idle stream: the platform keeps records for a limited time. */
static gboolean on_snapshot_timer(gpointer data)
{
	struct config_sync *c = data;

	if (c->loaded && config_version(c->current) && config_sync_log_reachable(c) &&
	    now_ms() >= c->snapshot_due_ms) {
		append_snapshot(c);
		schedule_snapshot(c);
	}
	return G_SOURCE_CONTINUE;
}

static void on_caught_up(void *ctx, uint64_t next)
{
	struct config_sync *c = ctx;

	c->behind_since_ms = 0;
	c->loaded |= config_next_offset(c->current) >= next;
	if (c->records_since_snapshot >= SNAPSHOT_RECORDS)
		append_snapshot(c);
}

static void on_truncated(void *ctx, uint64_t first)
{
	struct config_sync *c = ctx;

	if (config_next_offset(c->current) >= first) {
		tail_seek(c->tail, config_next_offset(c->current));
		return;
	}
	log_warn("tail", "platform",
		 "records before offset %" G_GUINT64_FORMAT " were dropped by the platform", first);
	tail_seek(c->tail, first);
}

static void on_reachable(void *ctx, bool yes)
{
}

static const struct tail_ops tail_ops = {
	.record = on_record,
	.caught_up = on_caught_up,
	.truncated = on_truncated,
	.reachable = on_reachable,
};

void config_sync_peer_offset(struct config_sync *c, const char *peer, uint64_t next_offset)
{
	Kw__RecordsAsk ask = KW__RECORDS_ASK__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	int64_t now = now_ms();

	if (next_offset <= config_next_offset(c->current)) {
		c->behind_since_ms = 0;
		return;
	}
	if (!c->behind_since_ms)
		c->behind_since_ms = now;
	if (now - c->behind_since_ms < RECORDS_ASK_DELAY_MS ||
	    now - c->records_asked_ms < RECORDS_ASK_DELAY_MS)
		return;
	c->records_asked_ms = now;
	ask.stream = (char *)STREAM;
	ask.from = config_next_offset(c->current);
	e.body_case = KW__ENVELOPE__BODY_RECORDS_ASK;
	e.records_ask = &ask;
	peers_send(c->peers, peer, &e, 0);
}

static void send_records(struct config_sync *c, const char *peer, Kw__Record **record, size_t n,
			 bool snapshot)
{
	Kw__Records records = KW__RECORDS__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;

	records.stream = (char *)STREAM;
	records.next = config_next_offset(c->current);
	records.snapshot = snapshot;
	records.record = record;
	records.n_record = n;
	e.body_case = KW__ENVELOPE__BODY_RECORDS;
	e.records = &records;
	if (!peers_send(c->peers, peer, &e, 0))
		log_warn("records", peer, "records not sent: the queue of the link is full");
}

static void send_snapshot(struct config_sync *c, const char *peer)
{
	Kw__Record rec = KW__RECORD__INIT;
	Kw__Record *list = &rec;
	g_autofree uint8_t *data = NULL;
	size_t size;

	data = config_encode_snapshot(c->current, &size);
	rec.offset = config_next_offset(c->current);
	rec.data.data = data;
	rec.data.len = size;
	send_records(c, peer, &list, 1, true);
}

static void send_cached(struct config_sync *c, const char *peer, uint64_t from)
{
	Kw__Record rec[CACHE_RECORDS];
	Kw__Record *list[CACHE_RECORDS];
	size_t n = 0;

	for (const GList *i = c->cache.head; i && n < CACHE_RECORDS; i = i->next) {
		const struct cached_record *cached = i->data;
		gsize size;

		if (cached->offset < from)
			continue;
		kw__record__init(&rec[n]);
		rec[n].offset = cached->offset;
		rec[n].data.data = (uint8_t *)g_bytes_get_data(cached->data, &size);
		rec[n].data.len = size;
		list[n] = &rec[n];
		n++;
	}
	send_records(c, peer, list, n, false);
}

static void on_records_ask(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct config_sync *c = ctx;
	const struct cached_record *oldest = g_queue_peek_head(&c->cache);
	uint64_t from = e->records_ask->from;

	if (!g_str_equal(e->records_ask->stream, STREAM) || from >= config_next_offset(c->current))
		return;
	if (oldest && oldest->offset <= from)
		send_cached(c, peer, from);
	else
		send_snapshot(c, peer);
}

static void on_records(void *ctx, const char *peer, const Kw__Envelope *e)
{
	const Kw__Records *r = e->records;
	struct config_sync *c = ctx;
	struct status st = STATUS_INIT;

	if (!g_str_equal(r->stream, STREAM))
		return;
	for (size_t i = 0; i < r->n_record; i++) {
		const Kw__Record *rec = r->record[i];

		if (r->snapshot)
			set_current(c,
				    config_install(c->current, rec->data.data, rec->data.len, &st));
		else
			apply(c, rec->offset, rec->data.data, rec->data.len);
	}
	if (st.code != STATUS_OK)
		log_warn("records", peer, "%s", st.message);
	c->loaded |= config_next_offset(c->current) >= r->next;
	tail_seek(c->tail, config_next_offset(c->current));
}

static gboolean on_publish_timeout(gpointer data)
{
	struct publish *p = data;
	struct call_end e;

	p->timer = 0;
	call_end_set(&e, OUTCOME_UNKNOWN, 504, "publish", "platform",
		     "the log did not confirm the record in time; publish again with its nonce");
	e.retry_after_ms = RETRY_AFTER_MS;
	reply_problem(p, &e);
	return G_SOURCE_REMOVE;
}

static struct publish *find_publish(const struct config_sync *c, uint64_t nonce)
{
	for (guint i = 0; i < c->publishes->len; i++) {
		struct publish *p = c->publishes->pdata[i];

		if (p->nonce == nonce)
			return p;
	}
	return NULL;
}

static void on_published(void *ctx, enum append_result result, uint64_t offset, const char *why)
{
	g_autofree struct publish_append *a = ctx;
	/* The publish may have been answered by its record, read back before, or by the timer. */
	struct publish *p = find_publish(a->config_sync, a->nonce);
	struct call_end e;

	if (!p)
		return;
	if (result == APPEND_OK) {
		p->offset = offset;
		p->has_offset = true;
		return;
	}
	if (result == APPEND_UNKNOWN)
		return; /* the record or the timer will answer */
	call_end_set(&e, OUTCOME_NOT_RUN, 503, "append", "platform", "%s", why);
	e.retry_after_ms = RETRY_AFTER_MS;
	reply_problem(p, &e);
}

static void on_post_config(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct config_sync *c = ctx;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) data = soup_message_body_flatten(body);
	gsize size;
	const uint8_t *bytes = g_bytes_get_data(data, &size);
	uint64_t nonce = bytes ? config_record_nonce(bytes, size) : 0;
	struct publish_append *a;
	struct publish *p;
	struct call_end e;

	if (!nonce) {
		http_reply_problem(msg, call_end_set(&e, OUTCOME_NOT_RUN, 400, "publish", "",
						     "the body is not a configuration record"));
		return;
	}
	/*
	 * An append to an unreachable log could end in an unknown outcome; refusing it is certain.
	 */
	if (!config_sync_log_reachable(c)) {
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "append", "platform",
			     "the log can't be reached");
		e.retry_after_ms = RETRY_AFTER_MS;
		http_reply_problem(msg, &e);
		return;
	}
	p = g_new0(struct publish, 1);
	p->config_sync = c;
	p->msg = g_object_ref(msg);
	p->nonce = nonce;
	p->timer = g_timeout_add(PUBLISH_WAIT_MS, on_publish_timeout, p);
	g_ptr_array_add(c->publishes, p);
	soup_server_message_pause(msg);
	a = g_new0(struct publish_append, 1);
	a->config_sync = c;
	a->nonce = nonce;
	platform_append(c->platform, STREAM, bytes, size, on_published, a);
}

/* For a query nonce=N: the version at which the record with that nonce was accepted. */
static void add_nonce_version(JsonBuilder *b, const struct config_sync *c, SoupServerMessage *msg)
{
	g_autofree char *nonce = http_query(msg, "nonce");

	if (!nonce)
		return;
	json_builder_set_member_name(b, "nonce_version");
	json_builder_add_int_value(
		b, (gint64)config_nonce_version(c->current, g_ascii_strtoull(nonce, NULL, 10)));
}

static void on_get_config(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct config_sync *c = ctx;
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autofree char *text = NULL;

	json_builder_begin_object(b);
	config_json_add(b, c->current);
	add_nonce_version(b, c, msg);
	json_builder_end_object(b);
	text = fields_end(b);
	http_reply_json(msg, SOUP_STATUS_OK, text);
}

void config_sync_add_routes(struct config_sync *c, struct http *http)
{
	http_add_route(http, "GET", "/v1/config", on_get_config, c);
	http_add_route(http, "POST", "/v1/config", on_post_config, c);
}

struct config_sync *config_sync_create(const struct settings *set, struct platform *platform,
				       struct peers *peers)
{
	struct config_sync *c = g_new0(struct config_sync, 1);

	c->set = set;
	c->platform = platform;
	c->peers = peers;
	c->current = config_empty();
	g_queue_init(&c->cache);
	c->on_change = g_array_new(FALSE, FALSE, sizeof(struct change_callback));
	c->publishes = g_ptr_array_new_with_free_func(publish_free);
	peers_on_message(peers, KW__ENVELOPE__BODY_RECORDS_ASK, on_records_ask, c);
	peers_on_message(peers, KW__ENVELOPE__BODY_RECORDS, on_records, c);
	return c;
}

void config_sync_start(struct config_sync *c)
{
	schedule_snapshot(c);
	c->snapshot_timer =
		g_timeout_add(MIN(c->set->snapshot_ms, SNAPSHOT_CHECK_MS), on_snapshot_timer, c);
	c->tail = platform_tail(c->platform, STREAM, 0, &tail_ops, c);
}

void config_sync_destroy(struct config_sync *c)
{
	if (!c)
		return;
	if (c->snapshot_timer)
		g_source_remove(c->snapshot_timer);
	g_ptr_array_unref(c->publishes);
	g_queue_clear_full(&c->cache, cached_record_free);
	g_array_unref(c->on_change);
	config_unref(c->current);
	g_free(c);
}

const struct config *config_sync_current(const struct config_sync *c)
{
	return c->current;
}

void config_sync_on_change(struct config_sync *c, config_sync_change_fn fn, void *ctx)
{
	struct change_callback cb = { .fn = fn, .ctx = ctx };

	g_array_append_val(c->on_change, cb);
}

bool config_sync_log_reachable(const struct config_sync *c)
{
	return c->tail && tail_reachable(c->tail);
}

bool config_sync_loaded(const struct config_sync *c)
{
	return c->loaded;
}
