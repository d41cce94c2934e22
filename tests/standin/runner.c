#include <string.h>
#include <sys/socket.h>

#include "runner.h"

#define CHUNK_BYTES 65536

/* A request, until its last byte was passed to libsoup. */
struct run {
	struct worker *w;
	SoupServerMessage *msg;
	char *id;
	char *tag;    /* from the body: one for each piece of work */
	char *prefix; /* first bytes of the answer */
	int64_t prefix_bytes;
	int64_t answer_bytes;
	int64_t sent_bytes;
	int64_t cut_after; /* -1: answer completely */
	int64_t delay_ms;
	gulong wrote_handler;
	gulong finished_handler;
	guint timer;
	bool fail;
	bool duplicate;
	bool never;
	bool released; /* its slot was freed */
};

static const char *const refusal_names[] = {
	[REFUSE_EPOCH] = "epoch",
	[REFUSE_LAPSED] = "lapsed",
	[REFUSE_LEAVING] = "leaving",
	[REFUSE_FULL] = "full",
};

static void run_release(struct run *r, const char *outcome)
{
	JsonBuilder *b;

	if (r->released)
		return;
	r->released = true;
	r->w->used.slots--;
	r->w->runs = g_list_remove(r->w->runs, r);
	b = record_begin(r->w->name, "run_end");
	standin_set_str(b, "id", r->id);
	standin_set_str(b, "outcome", outcome);
	standin_set_int(b, "answer_bytes", r->answer_bytes);
	standin_set_int(b, "sent_bytes", r->sent_bytes);
	record_end(r->w->record, b);
}

static void run_free(struct run *r)
{
	g_signal_handler_disconnect(r->msg, r->wrote_handler);
	g_signal_handler_disconnect(r->msg, r->finished_handler);
	if (r->timer)
		g_source_remove(r->timer);
	g_object_unref(r->msg);
	g_free(r->prefix);
	g_free(r->tag);
	g_free(r->id);
	g_free(r);
}

/* Sends a second complete answer after the first, like a faulty runner. */
static void send_again(struct run *r)
{
	GSocket *sock = soup_server_message_get_socket(r->msg);
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %" G_GINT64_FORMAT "\r\n\r\n%s",
				r->prefix_bytes, r->prefix);

	if (sock)
		g_socket_send(sock, text, strlen(text), NULL, NULL);
}

static void on_finished(SoupServerMessage *msg, gpointer data)
{
	struct run *r = data;

	if (r->duplicate && r->sent_bytes == r->answer_bytes)
		send_again(r);
	run_release(r, "aborted");
	run_free(r);
}

/* Appends the next chunk of the answer. The last one frees the slot. */
static void send_chunk(struct run *r)
{
	int64_t end = r->cut_after >= 0 ? MIN(r->cut_after, r->answer_bytes) : r->answer_bytes;
	int64_t len = MIN(CHUNK_BYTES, end - r->sent_bytes);
	SoupMessageBody *body = soup_server_message_get_response_body(r->msg);
	char *chunk;

	if (len <= 0)
		return;
	chunk = g_malloc((gsize)len);
	for (int64_t i = 0; i < len; i++) {
		int64_t at = r->sent_bytes + i;

		chunk[i] = at < r->prefix_bytes ? r->prefix[at] : (char)('a' + at % 26);
	}
	r->sent_bytes += len;
	if (r->sent_bytes == r->answer_bytes)
		run_release(r, r->fail ? "failed" : "done");
	soup_message_body_append_take(body, (guchar *)chunk, (gsize)len);
}

static void on_wrote_chunk(SoupServerMessage *msg, gpointer data)
{
	struct run *r = data;

	if (r->sent_bytes == r->answer_bytes)
		return;
	if (r->cut_after >= 0 && r->sent_bytes >= r->cut_after) {
		run_release(r, "cut");
		standin_drop(msg);
		return;
	}
	send_chunk(r);
	soup_server_message_unpause(msg);
}

static void run_answer(struct run *r)
{
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(r->msg);

	if (r->cut_after == 0 || soup_server_message_get_socket(r->msg) == NULL) {
		run_release(r, r->cut_after == 0 ? "cut" : "aborted");
		standin_drop(r->msg);
		return;
	}
	soup_server_message_set_status(r->msg, r->fail ? SOUP_STATUS_INTERNAL_SERVER_ERROR : 200,
				       NULL);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CONTENT_LENGTH);
	soup_message_headers_set_content_length(headers, r->answer_bytes);
	soup_message_headers_set_content_type(headers, "application/octet-stream", NULL);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(r->msg), FALSE);
	if (r->answer_bytes == 0)
		run_release(r, r->fail ? "failed" : "done");
	send_chunk(r);
}

static gboolean delay_end(gpointer data)
{
	struct run *r = data;
	int64_t frozen_ms = r->w->fault.frozen_until_ms - standin_now_ms();
	SoupServerMessage *msg = r->msg;

	if (frozen_ms > 0) {
		r->timer = g_timeout_add((guint)frozen_ms, delay_end, r);
		return G_SOURCE_REMOVE;
	}
	r->timer = 0;
	run_answer(r);
	soup_server_message_unpause(msg);
	return G_SOURCE_REMOVE;
}

static bool has_closed(SoupServerMessage *msg)
{
	GSocket *sock = soup_server_message_get_socket(msg);
	char byte;

	return !sock || recv(g_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void runner_tick(struct worker *w)
{
	GList *next;

	for (GList *at = w->runs; at; at = next) {
		struct run *r = at->data;

		next = at->next;
		if (!r->never || !has_closed(r->msg))
			continue;
		run_release(r, "aborted");
		standin_drop(r->msg);
		soup_server_message_unpause(r->msg);
	}
}

/* Reads the directives in the body and builds the start of the answer. */
static void read_directives(struct run *r)
{
	JsonObject *o = standin_body(r->msg);
	g_autoptr(GBytes) body =
		soup_message_body_flatten(soup_server_message_get_request_body(r->msg));
	gsize len;
	const char *data = g_bytes_get_data(body, &len);
	GString *text = g_string_new(r->id);

	g_string_append_c(text, '\n');
	if (o)
		g_string_append(text, standin_str(o, "echo", ""));
	else if (len)
		g_string_append_len(text, data, (gssize)len);
	r->prefix_bytes = (int64_t)text->len;
	r->prefix = g_string_free(text, FALSE);
	r->tag = g_strdup(standin_str(o, "tag", ""));
	r->answer_bytes = MAX(standin_int(o, "answer_bytes", r->prefix_bytes), 0);
	r->delay_ms = MAX(standin_int(o, "delay_ms", 0), 0);
	r->cut_after = standin_int(o, "cut_after", -1);
	r->fail = standin_flag(o, "fail", false);
	r->duplicate = standin_flag(o, "duplicate", false);
	r->never = standin_flag(o, "never", false);
	if (o)
		json_object_unref(o);
}

static void refuse(struct worker *w, SoupServerMessage *msg, enum refusal why, uint64_t epoch)
{
	SoupMessageHeaders *in = soup_server_message_get_request_headers(msg);
	const char *id = soup_message_headers_get_one(in, "Kw-Request-Id");
	JsonBuilder *b = record_begin(w->name, "run_refused");

	standin_set_str(b, "id", id ? id : "");
	standin_set_str(b, "reason", refusal_names[why]);
	standin_set_int(b, "epoch", (int64_t)epoch);
	standin_set_int(b, "newest", (int64_t)w->epoch);
	record_end(w->record, b);
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Kw-Refused",
				     refusal_names[why]);
	standin_error(msg, SOUP_STATUS_SERVICE_UNAVAILABLE, refusal_names[why]);
}

static void record_run(struct run *r, SoupMessageHeaders *in, uint64_t epoch)
{
	SoupMessageBody *body = soup_server_message_get_request_body(r->msg);
	const char *service = soup_message_headers_get_one(in, "Kw-Service");
	const char *team = soup_message_headers_get_one(in, "Kw-Team");
	const char *idempotent = soup_message_headers_get_one(in, "Kw-Idempotent");
	JsonBuilder *b = record_begin(r->w->name, "run_begin");

	standin_set_str(b, "id", r->id);
	standin_set_str(b, "tag", r->tag);
	standin_set_str(b, "service", service ? service : "");
	standin_set_str(b, "team", team ? team : "");
	standin_set_bool(b, "idempotent",
			 idempotent && (!strcmp(idempotent, "1") || !strcmp(idempotent, "true")));
	standin_set_int(b, "body_bytes", body->length);
	standin_set_int(b, "answer_bytes", r->answer_bytes);
	standin_set_int(b, "epoch", (int64_t)epoch);
	standin_set_str(b, "owner", r->w->owner);
	record_end(r->w->record, b);
}

void runner_call(struct worker *w, SoupServerMessage *msg)
{
	SoupMessageHeaders *in = soup_server_message_get_request_headers(msg);
	const char *epoch_text = soup_message_headers_get_one(in, "Kw-Epoch");
	const char *id = soup_message_headers_get_one(in, "Kw-Request-Id");
	uint64_t epoch = epoch_text ? g_ascii_strtoull(epoch_text, NULL, 10) : 0;
	enum refusal why = worker_check_epoch(w, epoch);
	struct run *r;

	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Kw-Request-Id",
				     id ? id : "");
	if (why == REFUSE_NONE && w->fault.leaving)
		why = REFUSE_LEAVING;
	if (why == REFUSE_NONE && w->used.slots >= w->capacity.slots) {
		worker_overload(w, "slots", id ? id : "", epoch);
		why = REFUSE_FULL;
	}
	if (why != REFUSE_NONE) {
		refuse(w, msg, why, epoch);
		return;
	}
	r = g_new0(struct run, 1);
	r->w = w;
	r->msg = g_object_ref(msg);
	r->id = g_strdup(id ? id : "");
	read_directives(r);
	w->used.slots++;
	w->runs = g_list_append(w->runs, r);
	r->wrote_handler = g_signal_connect(msg, "wrote-chunk", G_CALLBACK(on_wrote_chunk), r);
	r->finished_handler = g_signal_connect(msg, "finished", G_CALLBACK(on_finished), r);
	record_run(r, in, epoch);
	if (!r->never && !r->delay_ms) {
		run_answer(r);
		return;
	}
	soup_server_message_pause(msg);
	if (!r->never)
		r->timer = g_timeout_add((guint)r->delay_ms, delay_end, r);
}
