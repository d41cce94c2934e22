#define G_LOG_DOMAIN "link"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "link.h"

#define READ_BUFFER_BYTES 65536
#define FRAME_COST_BYTES  144 /* memory of a frame in the queue beside its bytes */

struct out_frame {
	GBytes *bytes;
	uint64_t tag;
};

struct link {
	GSocketConnection *conn;
	GCancellable *cancellable;
	struct link_conf conf;
	const struct link_ops *ops;
	void *ctx;
	GByteArray *in;
	uint32_t in_peak_bytes; /* the most that in has held, and so the least that it takes */
	GQueue out;		/* struct out_frame; if writing is set, the head is being written */
	uint32_t queued_bytes;
	uint64_t queued_cost;	 /* as counted in the budget */
	uint32_t received_bytes; /* of in, as counted in the budget */
	uint32_t pending_ops;	 /* operations in progress that refer to the link */
	bool writing;
	bool closed;
	bool destroyed;
	uint8_t *buf;
	uint32_t buf_bytes;
};

static void out_frame_free(struct out_frame *f)
{
	g_bytes_unref(f->bytes);
	g_free(f);
}

static void count_received(struct link *l, uint32_t bytes)
{
	if (l->conf.received)
		l->conf.received->bytes += (uint64_t)bytes - l->received_bytes;
	l->received_bytes = bytes;
}

/* Memory of the queue; short frames need far more than their bytes. */
static uint64_t queue_cost(const struct link *l)
{
	return l->queued_bytes + (uint64_t)l->out.length * FRAME_COST_BYTES;
}

static void count_queued(struct link *l)
{
	uint64_t cost = queue_cost(l);

	if (l->conf.queued)
		l->conf.queued->bytes += cost - l->queued_cost;
	l->queued_cost = cost;
}

/* Whether a link that holds so many bytes takes them from others, who may use max_bytes. */
static bool exceeds(const struct link_budget *b, uint64_t max_bytes, uint64_t more_bytes,
		    uint64_t held_bytes)
{
	return b->bytes + more_bytes > max_bytes && held_bytes > LINK_FAIR_BYTES;
}

/* A destroyed link may outlive its budgets until its last operation ends. */
static void leave_budgets(struct link *l)
{
	if (l->conf.received)
		l->conf.received->bytes -= l->received_bytes;
	if (l->conf.queued)
		l->conf.queued->bytes -= l->queued_cost;
	l->conf.received = NULL;
	l->conf.queued = NULL;
}

static void link_free(struct link *l)
{
	struct out_frame *f;

	while ((f = g_queue_pop_head(&l->out)))
		out_frame_free(f);
	g_byte_array_unref(l->in);
	g_object_unref(l->cancellable);
	g_object_unref(l->conn);
	g_free(l->buf);
	g_free(l);
}

/* Ends an operation, and frees a destroyed link after its last one. Returns false if destroyed. */
static bool link_op_done(struct link *l)
{
	l->pending_ops--;
	if (!l->destroyed)
		return true;
	if (l->pending_ops == 0)
		link_free(l);
	return false;
}

static void link_fail(struct link *l, const char *reason)
{
	if (l->closed)
		return;
	l->closed = true;
	g_cancellable_cancel(l->cancellable);
	l->ops->closed(l->ctx, l, reason);
}

static void start_read(struct link *l);
static void start_write(struct link *l);

/* A GByteArray doesn't shrink, so each link would keep the memory of its largest frame. */
static void shrink_input(struct link *l)
{
	GByteArray *in = l->in;

	if (l->in_peak_bytes <= LINK_FAIR_BYTES)
		return;
	l->in = g_byte_array_sized_new(in->len);
	g_byte_array_append(l->in, in->data, in->len);
	l->in_peak_bytes = in->len;
	g_byte_array_unref(in);
}

static const char *decode_error_text(enum frame_result r)
{
	return r == FRAME_TOO_LARGE ? "frame is larger than the limit" : "frame is malformed";
}

/* Returns false if the link is closed or destroyed; it may be freed then. */
static bool dispatch_frames(struct link *l)
{
	enum frame_result r = FRAME_INCOMPLETE;
	bool any = false;
	Kw__Envelope *e;
	uint32_t size;

	l->pending_ops++;
	while (!l->closed && !l->destroyed &&
	       (r = frame_decode(l->in, l->conf.frame_max_bytes, &e, &size)) == FRAME_OK) {
		l->ops->message(l->ctx, l, e, size);
		kw__envelope__free_unpacked(e, NULL);
		any = true;
	}
	if (!link_op_done(l) || l->closed)
		return false;
	if (any)
		shrink_input(l);
	if (r == FRAME_INCOMPLETE)
		return true;
	link_fail(l, decode_error_text(r));
	return false;
}

static void on_read(GObject *src, GAsyncResult *res, gpointer data)
{
	struct link *l = data;
	g_autoptr(GError) err = NULL;
	gssize n = g_input_stream_read_finish(G_INPUT_STREAM(src), res, &err);

	if (!link_op_done(l) || l->closed)
		return;
	if (n <= 0) {
		link_fail(l, n == 0 ? "closed by peer" : err->message);
		return;
	}
	g_byte_array_append(l->in, l->buf, (guint)n);
	l->in_peak_bytes = MAX(l->in_peak_bytes, l->in->len);
	if (!dispatch_frames(l))
		return;
	count_received(l, l->in->len);
	if (l->conf.received &&
	    exceeds(l->conf.received, l->conf.received->max_bytes, 0, l->in->len))
		link_fail(l, "too many bytes of unfinished frames");
	else
		start_read(l);
}

static void start_read(struct link *l)
{
	GInputStream *in = g_io_stream_get_input_stream(G_IO_STREAM(l->conn));
	uint32_t bytes = MIN(READ_BUFFER_BYTES, l->conf.frame_max_bytes + FRAME_HEADER_BYTES);

	if (l->buf_bytes != bytes) {
		g_free(l->buf);
		l->buf = g_malloc(bytes);
		l->buf_bytes = bytes;
	}
	l->pending_ops++;
	g_input_stream_read_async(in, l->buf, l->buf_bytes, G_PRIORITY_DEFAULT, l->cancellable,
				  on_read, l);
}

static void on_written(GObject *src, GAsyncResult *res, gpointer data)
{
	struct link *l = data;
	g_autoptr(GError) err = NULL;
	bool ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(src), res, NULL, &err);
	struct out_frame *f;

	if (!link_op_done(l) || l->closed)
		return;
	if (!ok) {
		link_fail(l, err->message);
		return;
	}
	l->writing = false;
	f = g_queue_pop_head(&l->out);
	l->queued_bytes -= (uint32_t)g_bytes_get_size(f->bytes);
	count_queued(l);
	out_frame_free(f);
	start_write(l);
}

static void start_write(struct link *l)
{
	GOutputStream *out = g_io_stream_get_output_stream(G_IO_STREAM(l->conn));
	struct out_frame *f = g_queue_peek_head(&l->out);
	const void *data;
	gsize size;

	if (!f || l->writing || l->closed)
		return;
	l->writing = true;
	l->pending_ops++;
	data = g_bytes_get_data(f->bytes, &size);
	g_output_stream_write_all_async(out, data, size, G_PRIORITY_DEFAULT, l->cancellable,
					on_written, l);
}

struct link *link_create(GSocketConnection *conn, const struct link_conf *conf,
			 const struct link_ops *ops, void *ctx)
{
	struct link *l = g_new0(struct link, 1);

	l->conn = g_object_ref(conn);
	l->cancellable = g_cancellable_new();
	l->conf = *conf;
	l->ops = ops;
	l->ctx = ctx;
	l->in = g_byte_array_new();
	g_queue_init(&l->out);
	g_socket_set_option(g_socket_connection_get_socket(conn), IPPROTO_TCP, TCP_NODELAY, 1,
			    NULL);
	start_read(l);
	return l;
}

void link_destroy(struct link *l)
{
	if (!l)
		return;
	l->closed = true;
	l->destroyed = true;
	leave_budgets(l);
	g_cancellable_cancel(l->cancellable);
	g_socket_close(g_socket_connection_get_socket(l->conn), NULL);
	if (l->pending_ops == 0)
		link_free(l);
}

static bool is_body_frame(const Kw__Envelope *e)
{
	return e->body_case == KW__ENVELOPE__BODY_CHUNK || e->body_case == KW__ENVELOPE__BODY_CALL;
}

/*
 * Frames with a body may fill the queue up to its limit, control frames up to twice the limit, so
 * that bodies don't block the frames that control them.
 */
static bool queue_has_space(const struct link *l, const Kw__Envelope *e, uint32_t size)
{
	uint64_t max = is_body_frame(e) ? l->conf.queue_max_bytes : 2ULL * l->conf.queue_max_bytes;

	return (uint64_t)l->queued_bytes + size <= max;
}

static bool budget_has_space(const struct link *l, uint32_t size, uint32_t percent)
{
	const struct link_budget *b = l->conf.queued;
	uint64_t more = (uint64_t)size + FRAME_COST_BYTES;

	return !b || !exceeds(b, b->max_bytes * percent / 100, more, queue_cost(l) + more);
}

/*
 * Disconnects a peer that does not even read control frames. closed() follows from the main loop,
 * since callers of link_send() don't expect it.
 */
static void shut_down_slow_peer(struct link *l)
{
	g_socket_shutdown(g_socket_connection_get_socket(l->conn), TRUE, TRUE, NULL);
}

/* Returns 0 if the link is closed or e is too large. */
static uint32_t frame_size(const struct link *l, const Kw__Envelope *e)
{
	uint32_t size;

	if (l->closed)
		return 0;
	size = (uint32_t)kw__envelope__get_packed_size(e) + FRAME_HEADER_BYTES;
	return size <= l->conf.frame_max_bytes + FRAME_HEADER_BYTES ? size : 0;
}

static void enqueue(struct link *l, const Kw__Envelope *e, uint32_t size, uint64_t tag)
{
	struct out_frame *f = g_new0(struct out_frame, 1);

	f->bytes = frame_encode(e);
	f->tag = tag;
	g_queue_push_tail(&l->out, f);
	l->queued_bytes += size;
	count_queued(l);
	start_write(l);
}

uint32_t link_send(struct link *l, const Kw__Envelope *e, uint64_t tag)
{
	uint32_t size = frame_size(l, e);

	if (!size)
		return 0;
	if (!queue_has_space(l, e, size) || !budget_has_space(l, size, 100)) {
		if (!is_body_frame(e))
			shut_down_slow_peer(l);
		return 0;
	}
	enqueue(l, e, size, tag);
	return size;
}

uint32_t link_offer(struct link *l, const Kw__Envelope *e, uint64_t tag)
{
	uint32_t size = frame_size(l, e);

	if (!size || !budget_has_space(l, size, LINK_OFFER_PERCENT))
		return 0;
	return link_send(l, e, tag);
}

void link_set_frame_max(struct link *l, uint32_t bytes)
{
	l->conf.frame_max_bytes = bytes;
}

bool link_unwritten(const struct link *l, uint64_t tag)
{
	const GList *head = l->writing ? l->out.head->next : l->out.head;

	for (const GList *i = head; i; i = i->next)
		if (((const struct out_frame *)i->data)->tag == tag)
			return true;
	return false;
}

uint32_t link_queued_bytes(const struct link *l)
{
	return l->queued_bytes;
}
