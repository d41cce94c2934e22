#define G_LOG_DOMAIN "gateway"

#include <string.h>

#include "clock.h"
#include "gateway.h"
#include "id.h"
#include "log.h"
#include "process/voter.h"

#define PATH_PREFIX "/v1/requests/"
/* Number of daemons tried as coordinator of a key, in order of rank. */
#define COORDINATORS_MAX 3
#define RETRY_AFTER_MS	 1000
/* Time after the deadline in which the owner's own answer to it may still arrive. */
#define DEADLINE_GRACE_MS 50
#define DEADLINE_MAX_MS	  86400000

struct gateway {
	struct gateway_deps deps;
	GQueue open; /* struct request */
};

/* One caller's request. */
struct request {
	struct gateway *gateway;
	GList link; /* of open */
	SoupServerMessage *msg;
	char id[37];
	char *service;
	char *team;
	enum work_class class;
	struct forward *forward; /* of a request that is idempotent or has no key */
	struct call *call;	 /* to the coordinator, of any other request */
	struct call_begin begin; /* content_type is owned */
	gulong on_written;
	gulong on_finished;
	guint deadline_timer;
	int64_t received_ms;
	uint64_t answer_bytes;
	bool answer_begun;
	bool headers_sent;
	bool answered;
};

static void count_outcome(const struct request *q, enum outcome out)
{
	struct metrics *m = q->gateway->deps.metrics;

	metrics_counter(m, "kw_requests_total", "Requests by outcome", "service", q->service,
			"outcome", outcome_name(out), NULL)
		->value++;
	hist_add(metrics_hist(m, "kw_request_ms", "Time from request to end of answer", "team",
			      q->team, "class", work_class_name(q->class), NULL),
		 (uint64_t)(now_ms() - q->received_ms));
}

static void request_free(struct request *q)
{
	if (q->deadline_timer)
		g_source_remove(q->deadline_timer);
	g_signal_handler_disconnect(q->msg, q->on_written);
	g_signal_handler_disconnect(q->msg, q->on_finished);
	g_object_unref(q->msg);
	g_free((char *)q->begin.content_type);
	g_free(q->service);
	g_free(q->team);
	g_queue_unlink(&q->gateway->open, &q->link);
	g_free(q);
}

static void cancel_work(struct request *q)
{
	if (q->forward)
		forward_cancel(g_steal_pointer(&q->forward));
	if (q->call)
		call_cancel(g_steal_pointer(&q->call));
}

static void reply_problem(struct request *q, const struct call_end *e)
{
	q->answered = true;
	if (q->headers_sent)
		http_abort(q->msg);
	else
		http_reply_problem(q->msg, e);
	soup_server_message_unpause(q->msg);
	count_outcome(q, e->outcome);
	if (e->outcome != OUTCOME_DONE)
		log_request(LOG_INFO, q->id, e->step, e->peer, "%s: %s", outcome_name(e->outcome),
			    e->message);
}

static void send_headers(struct request *q)
{
	SoupMessageHeaders *h = soup_server_message_get_response_headers(q->msg);
	SoupMessageBody *body = soup_server_message_get_response_body(q->msg);

	q->headers_sent = true;
	soup_server_message_set_status(q->msg, q->begin.status, NULL);
	soup_message_body_set_accumulate(body, FALSE);
	soup_message_headers_replace(h, "Content-Type",
				     q->begin.content_type[0] ? q->begin.content_type
							      : "application/octet-stream");
	soup_message_headers_replace(h, "Kw-Outcome", outcome_name(OUTCOME_DONE));
	if (q->begin.length_bytes >= 0)
		soup_message_headers_set_content_length(h, q->begin.length_bytes);
	else
		soup_message_headers_set_encoding(h, SOUP_ENCODING_CHUNKED);
}

static void on_begin(void *ctx, const struct call_begin *b)
{
	struct request *q = ctx;

	q->begin = *b;
	q->begin.content_type = g_strdup(b->content_type ? b->content_type : "");
	q->answer_begun = true;
	soup_message_headers_replace(soup_server_message_get_response_headers(q->msg), "Kw-Worker",
				     b->worker ? b->worker : "");
	q->begin.worker = NULL;
}

static void on_data(void *ctx, GBytes *data)
{
	struct request *q = ctx;

	if (!q->answer_begun || q->answered)
		return;
	if (!q->headers_sent)
		send_headers(q);
	q->answer_bytes += g_bytes_get_size(data);
	soup_message_body_append_bytes(soup_server_message_get_response_body(q->msg), data);
	soup_server_message_unpause(q->msg);
}

/* True if all bytes of the answer were received. Only then may it be completed. */
static bool answer_is_complete(const struct request *q, const struct call_end *e)
{
	if (e->outcome != OUTCOME_DONE || !q->answer_begun || q->answer_bytes != e->total_bytes)
		return false;
	return q->begin.length_bytes < 0 || (uint64_t)q->begin.length_bytes == q->answer_bytes;
}

static void complete_answer(struct request *q)
{
	if (!q->headers_sent)
		send_headers(q);
	q->answered = true;
	soup_message_body_complete(soup_server_message_get_response_body(q->msg));
	soup_server_message_unpause(q->msg);
	count_outcome(q, OUTCOME_DONE);
}

static void on_end(void *ctx, const struct call_end *e)
{
	struct request *q = ctx;
	struct call_end incomplete;

	q->forward = NULL;
	q->call = NULL;
	if (q->answered)
		return;
	if (answer_is_complete(q, e)) {
		complete_answer(q);
	} else if (e->outcome == OUTCOME_DONE && e->status == SOUP_STATUS_OK) {
		call_end_set(&incomplete, OUTCOME_UNKNOWN, 502, "answer", e->peer,
			     "%" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
			     " bytes of the answer came",
			     q->answer_bytes, e->total_bytes);
		reply_problem(q, &incomplete);
	} else {
		reply_problem(q, e);
	}
}

static const struct call_requester_ops requester_ops = {
	.begin = on_begin,
	.data = on_data,
	.end = on_end,
};

static void on_written(SoupServerMessage *msg, guint size, gpointer data)
{
	struct request *q = data;

	if (q->forward)
		forward_credit(q->forward, size);
	else if (q->call)
		call_credit(q->call, size);
}

/* The answer was written or the caller closed the connection. */
static void on_finished(SoupServerMessage *msg, gpointer data)
{
	struct request *q = data;

	if (!q->answered)
		count_outcome(q, OUTCOME_UNKNOWN);
	cancel_work(q);
	request_free(q);
}

/* Answers without the whole answer of the worker; step tells why. */
static void give_up(struct request *q, const char *step, uint32_t not_run_status)
{
	bool handed_over = q->call || (q->forward && forward_handed_over(q->forward));
	struct call_end e;

	if (q->answered)
		return;
	cancel_work(q);
	if (handed_over)
		call_end_set(&e, OUTCOME_UNKNOWN, 504, step, q->service,
			     "handed over, and no whole answer before the %s", step);
	else
		call_end_set(&e, OUTCOME_NOT_RUN, not_run_status, step, q->service,
			     "not handed over before the %s", step);
	e.retry_after_ms = RETRY_AFTER_MS;
	reply_problem(q, &e);
}

static gboolean on_deadline(gpointer data)
{
	struct request *q = data;

	q->deadline_timer = 0;
	give_up(q, "deadline", 504);
	return G_SOURCE_REMOVE;
}

void gateway_end_requests(struct gateway *g)
{
	for (GList *i = g->open.head; i;) {
		GList *next = i->next;

		give_up(i->data, "stop", 503);
		i = next;
	}
}

static const char *header(SoupServerMessage *msg, const char *name)
{
	return soup_message_headers_get_one(soup_server_message_get_request_headers(msg), name);
}

/* Parameters of a request, validated against the current configuration. */
struct params {
	const struct config_service *service;
	const struct config_team *team;
	const char *key; /* NULL if the caller sent none */
	uint32_t deadline_ms;
};

static bool parse_deadline(const struct gateway *g, SoupServerMessage *msg, struct params *p,
			   struct call_end *e)
{
	const char *text = header(msg, "Kw-Deadline-Ms");
	guint64 value;

	p->deadline_ms = p->service->deadline_ms ? p->service->deadline_ms
						 : g->deps.set->default_deadline_ms;
	if (!text)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, DEADLINE_MAX_MS, &value, NULL)) {
		call_end_set(e, OUTCOME_NOT_RUN, 400, "check", "",
			     "Kw-Deadline-Ms is not a number of milliseconds up to %u",
			     DEADLINE_MAX_MS);
		return false;
	}
	p->deadline_ms = (uint32_t)value;
	if (value == 0)
		call_end_set(e, OUTCOME_NOT_RUN, 504, "deadline", "", "the deadline has expired");
	return value > 0;
}

static bool parse_key(SoupServerMessage *msg, struct params *p, struct call_end *e)
{
	int64_t wall_ms;

	p->key = header(msg, "Idempotency-Key");
	if (!p->key || uuid7_time_ms(p->key, &wall_ms))
		return true;
	call_end_set(e, OUTCOME_NOT_RUN, 400, "check", "", "Idempotency-Key is not a UUIDv7");
	return false;
}

static bool parse_params(const struct gateway *g, SoupServerMessage *msg, const char *name,
			 struct params *p, struct call_end *e)
{
	const struct config *conf = config_sync_current(g->deps.config_sync);
	const char *team = header(msg, "Kw-Team");

	p->service = config_service(conf, name);
	if (!p->service) {
		call_end_set(e, OUTCOME_NOT_RUN, 404, "check", "", "no service \"%.63s\"", name);
		return false;
	}
	if (p->service->class != WORK_REQUEST && p->service->class != WORK_URGENT) {
		call_end_set(e, OUTCOME_NOT_RUN, 409, "check", "",
			     "service \"%s\" is of class %s and takes jobs, not requests", name,
			     work_class_name(p->service->class));
		return false;
	}
	if (!team) {
		call_end_set(e, OUTCOME_NOT_RUN, 400, "check", "", "header Kw-Team is missing");
		return false;
	}
	p->team = config_team(conf, team);
	if (!p->team) {
		call_end_set(e, OUTCOME_NOT_RUN, 403, "check", "", "no team \"%.63s\"", team);
		return false;
	}
	return parse_deadline(g, msg, p, e) && parse_key(msg, p, e);
}

static void forward_request(struct request *q, Kw__Call *call, const struct params *p)
{
	const struct gateway_deps *deps = &q->gateway->deps;
	int64_t deadline_ms = q->received_ms + p->deadline_ms;
	const char *names[COORDINATORS_MAX];
	struct call_end e;
	size_t n;

	/* Without a key from the caller the request can't be repeated, so it needs no claim. */
	if (call->idempotent || !p->key) {
		q->forward = forward_start(&deps->forward, call, p->service->answer_max_bytes,
					   deadline_ms, &requester_ops, q);
		return;
	}
	call->kind = KW__CALL_KIND__CALL_ONCE;
	/* Any daemon may coordinate: the voters grant the key to one claimant only. */
	n = members_rank(deps->members, p->team->home_dc, call->key, true, names, COORDINATORS_MAX);
	for (size_t i = 0; i < n && !q->call; i++)
		q->call = call_open(deps->forward.calls, names[i], call, &requester_ops, q);
	if (q->call)
		return;
	call_end_set(&e, OUTCOME_NOT_RUN, 503, "coordinate", p->team->home_dc,
		     "no coordinator of the team's home data centre can be reached");
	e.retry_after_ms = RETRY_AFTER_MS;
	reply_problem(q, &e);
}

static struct request *request_create(struct gateway *g, SoupServerMessage *msg,
				      const struct params *p)
{
	struct request *q = g_new0(struct request, 1);

	q->gateway = g;
	q->msg = g_object_ref(msg);
	q->service = g_strdup(p->service->name);
	q->team = g_strdup(p->team->name);
	q->class = p->service->class;
	q->received_ms = now_ms();
	id_make(q->id);
	q->on_written = g_signal_connect(msg, "wrote-body-data", G_CALLBACK(on_written), q);
	q->on_finished = g_signal_connect(msg, "finished", G_CALLBACK(on_finished), q);
	q->deadline_timer = g_timeout_add(p->deadline_ms + DEADLINE_GRACE_MS, on_deadline, q);
	q->link.data = q;
	g_queue_push_tail_link(&g->open, &q->link);
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Kw-Request-Id",
				     q->id);
	return q;
}

static void on_request(void *ctx, SoupServerMessage *msg, const char *rest)
{
	struct gateway *g = ctx;
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) data = soup_message_body_flatten(body);
	const char *type = header(msg, "Content-Type");
	Kw__Call call = KW__CALL__INIT;
	struct params p = { 0 };
	struct call_end e;
	struct request *q;
	gsize size;

	if (!parse_params(g, msg, rest, &p, &e)) {
		http_reply_problem(msg, &e);
		return;
	}
	q = request_create(g, msg, &p);
	call.request_id = q->id;
	call.team = q->team;
	call.service = q->service;
	call.idempotent = p.service->idempotency == IDEMPOTENT;
	call.key = (char *)(p.key ? p.key : q->id);
	call.work_class = p.service->class;
	call.deadline_ms = p.deadline_ms;
	call.cpu_milli = p.service->size.cpu_milli;
	call.mem_bytes = p.service->size.mem_bytes;
	call.accel = p.service->size.accel;
	call.run_ms = p.service->run_ms;
	call.content_type = (char *)(type ? type : "");
	call.body.data = (uint8_t *)g_bytes_get_data(data, &size);
	call.body.len = size;
	soup_server_message_pause(msg);
	forward_request(q, &call, &p);
}

struct gateway *gateway_create(const struct gateway_deps *deps)
{
	struct gateway *g = g_new0(struct gateway, 1);

	g->deps = *deps;
	g_queue_init(&g->open);
	http_add_route(deps->http, "POST", PATH_PREFIX, on_request, g);
	return g;
}

void gateway_destroy(struct gateway *g)
{
	g_free(g);
}

uint32_t gateway_open_count(const struct gateway *g)
{
	return g->open.length;
}
