#define G_LOG_DOMAIN "run"

#include "log.h"
#include "run.h"

#define CONNECTIONS_MAX 4096
#define TIMEOUT_S	300

struct runner_client {
	const struct settings *set;
	struct traffic *traffic;
	SoupSession *session;
	GHashTable *echoing_urls; /* of runners whose answers carry the request's id */
};

struct run {
	struct runner_client *client;
	SoupMessage *msg;
	GInputStream *body_stream;
	GCancellable *cancel;
	char *worker;
	char *url;
	bool (*may_start)(void *ctx);
	const struct call_requester_ops *ops; /* NULL after the end or cancel */
	void *ctx;
	uint64_t credit_bytes;
	uint64_t total_bytes;
	int64_t length_bytes;
	uint32_t n_writes; /* times that libsoup began to write the request */
	bool fenced;	   /* may_start() returned false */
	bool reading;	   /* an asynchronous call or a callback is active; r must not be freed */
};

static void run_free(struct run *r)
{
	g_clear_object(&r->body_stream);
	g_object_unref(r->msg);
	g_object_unref(r->cancel);
	g_free(r->worker);
	g_free(r->url);
	g_free(r);
}

static void finish(struct run *r, const struct call_end *e)
{
	const struct call_requester_ops *ops = r->ops;

	r->ops = NULL;
	ops->end(r->ctx, e);
	run_free(r);
}

/* Prevents libsoup from writing a request again, which could start it a second time. */
static void on_starting(SoupMessage *msg, gpointer data)
{
	struct run *r = data;

	r->n_writes++;
	if (r->ops && r->n_writes == 1 && r->may_start(r->ctx))
		return;
	if (r->n_writes == 1)
		r->fenced = true;
	g_cancellable_cancel(r->cancel);
}

static void end_error(struct run *r, const char *step, const char *why)
{
	struct call_end e;

	if (r->n_writes == 0 || r->fenced)
		call_end_set(&e, OUTCOME_NOT_RUN, 503, "start", r->worker, "%s",
			     r->fenced ? "the lease on the worker lapsed" : why);
	else
		call_end_set(&e, OUTCOME_UNKNOWN, 502, step, r->worker, "%s", why);
	e.total_bytes = r->total_bytes;
	finish(r, &e);
}

static void end_complete(struct run *r)
{
	struct call_end e;

	if ((uint64_t)r->length_bytes != r->total_bytes)
		call_end_set(&e, OUTCOME_FAILED, 502, "answer", r->worker,
			     "the runner cut the answer after %" G_GUINT64_FORMAT
			     " of %" G_GINT64_FORMAT " bytes",
			     r->total_bytes, r->length_bytes);
	else
		call_end_set(&e, OUTCOME_DONE, 200, "answer", r->worker, "whole");
	e.total_bytes = r->total_bytes;
	finish(r, &e);
}

static void read_more(struct run *r);

static void on_data(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(src), res, &err);
	struct run *r = data;
	gsize size;

	r->reading = false;
	if (!r->ops) {
		run_free(r);
		return;
	}
	if (!bytes) {
		end_error(r, "answer", err->message);
		return;
	}
	size = g_bytes_get_size(bytes);
	if (size == 0) {
		end_complete(r);
		return;
	}
	r->total_bytes += size;
	r->credit_bytes -= MIN(size, r->credit_bytes);
	/* The receiver may cancel the run from within data(). */
	r->reading = true;
	r->ops->data(r->ctx, bytes);
	r->reading = false;
	if (!r->ops)
		run_free(r);
	else
		read_more(r);
}

static void read_more(struct run *r)
{
	uint32_t max = r->client->set->chunk_bytes;

	if (r->reading || !r->body_stream || r->credit_bytes == 0)
		return;
	r->reading = true;
	g_input_stream_read_bytes_async(r->body_stream, MIN(max, r->credit_bytes),
					G_PRIORITY_DEFAULT, r->cancel, on_data, r);
}

/* The runner refused the request, so it was not started. */
static void end_refused(struct run *r, const char *reason)
{
	struct call_end e;

	call_end_set(&e, OUTCOME_NOT_RUN, 503, "refused", r->worker, "%s", reason);
	finish(r, &e);
}

/*
 * On a reused connection a late answer to an earlier request may arrive. So connections are reused
 * only to runners whose answers carry the request's id.
 */
static bool answers_this_request(const struct run *r)
{
	GHashTable *echoing_urls = r->client->echoing_urls;
	const char *own_id = soup_message_headers_get_one(soup_message_get_request_headers(r->msg),
							  "Kw-Request-Id");
	const char *answer_id = soup_message_headers_get_one(
		soup_message_get_response_headers(r->msg), "Kw-Request-Id");
	bool echoed = answer_id && g_str_equal(answer_id, own_id);

	if (echoed)
		g_hash_table_add(echoing_urls, g_strdup(r->url));
	else
		g_hash_table_remove(echoing_urls, r->url);
	return echoed ||
	       (!answer_id && soup_message_query_flags(r->msg, SOUP_MESSAGE_NEW_CONNECTION));
}

/*
 * Without a length a truncated answer may look complete: libsoup takes a connection closed between
 * two chunks for the end.
 */
static bool has_length(SoupMessage *msg)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(msg);

	return soup_message_headers_get_encoding(h) == SOUP_ENCODING_CONTENT_LENGTH;
}

static void end_failed(struct run *r, const char *why)
{
	struct call_end e;

	call_end_set(&e, OUTCOME_FAILED, 502, "answer", r->worker, "%s", why);
	finish(r, &e);
}

static void notify_begin(struct run *r)
{
	SoupMessageHeaders *h = soup_message_get_response_headers(r->msg);
	struct call_begin b = {
		.content_type = soup_message_headers_get_content_type(h, NULL),
		.worker = r->worker,
		.length_bytes = soup_message_headers_get_content_length(h),
		.status = soup_message_get_status(r->msg),
	};

	r->length_bytes = b.length_bytes;
	r->ops->begin(r->ctx, &b);
}

static void on_response(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	struct run *r = data;
	const char *refused;

	r->body_stream = soup_session_send_finish(SOUP_SESSION(src), res, &err);
	r->reading = false;
	if (!r->ops) {
		run_free(r);
		return;
	}
	if (!r->body_stream) {
		end_error(r, "await", err->message);
		return;
	}
	if (!answers_this_request(r)) {
		end_error(r, "await", "the runner answered another request");
		return;
	}
	refused = soup_message_headers_get_one(soup_message_get_response_headers(r->msg),
					       "Kw-Refused");
	if (refused) {
		end_refused(r, refused);
		return;
	}
	if (soup_message_get_status(r->msg) >= 500) {
		g_autofree char *why =
			g_strdup_printf("the runner answered %u", soup_message_get_status(r->msg));

		end_failed(r, why);
		return;
	}
	if (!has_length(r->msg)) {
		end_failed(r, "the runner gave an answer without a length");
		return;
	}
	r->reading = true;
	notify_begin(r);
	r->reading = false;
	if (!r->ops)
		run_free(r);
	else
		read_more(r);
}

static void add_headers(SoupMessage *msg, uint64_t epoch, const Kw__Call *req)
{
	SoupMessageHeaders *h = soup_message_get_request_headers(msg);
	g_autofree char *s = g_strdup_printf("%" G_GUINT64_FORMAT, epoch);

	soup_message_headers_replace(h, "Kw-Epoch", s);
	soup_message_headers_replace(h, "Kw-Request-Id", req->request_id);
	soup_message_headers_replace(h, "Kw-Service", req->service);
	soup_message_headers_replace(h, "Kw-Team", req->team);
	soup_message_headers_replace(h, "Kw-Idempotent", req->idempotent ? "true" : "false");
}

static SoupMessage *make_message(const struct runner_client *rc, const char *url, uint64_t epoch,
				 const Kw__Call *req)
{
	g_autofree char *full = g_strdup_printf("%s/run", url);
	g_autoptr(GBytes) body = g_bytes_new(req->body.data, req->body.len);
	const char *type = req->content_type[0] ? req->content_type : "application/octet-stream";
	SoupMessage *msg = soup_message_new("POST", full);

	add_headers(msg, epoch, req);
	soup_message_set_request_body_from_bytes(msg, type, body);
	/* A reused connection may close during the write; only idempotent requests risk that. */
	if (req->idempotent && g_hash_table_contains(rc->echoing_urls, url))
		soup_message_add_flags(msg, SOUP_MESSAGE_IDEMPOTENT);
	else
		soup_message_add_flags(msg, SOUP_MESSAGE_NEW_CONNECTION);
	return msg;
}

struct run *run_start(struct runner_client *rc, const char *url, const char *worker, uint64_t epoch,
		      const Kw__Call *req, bool (*may_start)(void *ctx),
		      const struct call_requester_ops *ops, void *ctx)
{
	struct run *r = g_new0(struct run, 1);

	r->client = rc;
	r->worker = g_strdup(worker);
	r->url = g_strdup(url);
	r->may_start = may_start;
	r->ops = ops;
	r->ctx = ctx;
	r->length_bytes = -1;
	r->cancel = g_cancellable_new();
	r->msg = make_message(rc, url, epoch, req);
	g_signal_connect(r->msg, "starting", G_CALLBACK(on_starting), r);
	traffic_add(rc->traffic, ROLE_OWNER, LINK_WORKER, TRAFFIC_OUT, req->body.len,
		    req->body.len);
	r->reading = true;
	soup_session_send_async(rc->session, r->msg, G_PRIORITY_DEFAULT, r->cancel, on_response, r);
	return r;
}

void run_credit(struct run *r, uint32_t bytes)
{
	r->credit_bytes += bytes;
	read_more(r);
}

bool run_cancel(struct run *r)
{
	bool written = r->n_writes > 0 && !r->fenced;

	r->ops = NULL;
	g_cancellable_cancel(r->cancel);
	if (!r->reading)
		run_free(r);
	return written;
}

struct runner_client *runner_client_create(const struct settings *set, struct traffic *traffic)
{
	struct runner_client *rc = g_new0(struct runner_client, 1);
	g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(set->listen_host);
	g_autoptr(GSocketAddress) local = g_inet_socket_address_new(ip, 0);

	rc->set = set;
	rc->traffic = traffic;
	rc->echoing_urls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rc->session = soup_session_new_with_options("local-address", local, "timeout", TIMEOUT_S,
						    "max-conns", CONNECTIONS_MAX,
						    "max-conns-per-host", CONNECTIONS_MAX, NULL);
	return rc;
}

void runner_client_destroy(struct runner_client *rc)
{
	if (!rc)
		return;
	soup_session_abort(rc->session);
	g_object_unref(rc->session);
	g_hash_table_unref(rc->echoing_urls);
	g_free(rc);
}
