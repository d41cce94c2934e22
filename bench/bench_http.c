/*
 * HTTP exchanges with a worker and with the platform. Calls to the worker use the HTTP client of
 * the daemon. Bytes are the TCP payload in both directions, as the kernel counts it on the socket
 * of the server. Processor time is that of the client, unless said otherwise.
 */
#include <math.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#include <linux/tcp.h>

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "bench.h"
#include "connection/worker.h"

#define JOB_ID	      "01936f00-0000-7000-8000-000000000000"
#define WORKER_PATH   "/w0123"
#define STREAM_PATH   "/v1/streams/jobs.north-a/records"
#define READ_PATH     STREAM_PATH "?from=10000000&max=64&wait_ms=10000"
#define SERVER_RUNS   5 /* the fastest one counts */
#define VMS_PATH      "/v1/vms"
#define VMS_ETAG      "\"1234567890-1767225600000\"" /* of the list of VMs */
#define RENEWED_TASKS 4				     /* in the measured renewals */

static const uint32_t exchange_sizes[] = { 25, 50, 100, 200 };

/* An HTTP server in a thread of its own, which answers every request with `answer`. */
struct server {
	GMutex lock;
	GCond ready;
	GMainLoop *loop;
	guint port;
	GBytes *answer;
	int fd;		 /* connection of the last request */
	guint peer_port; /* likewise */
	clockid_t clock; /* processor time of the thread */
};

struct client;

/* One kind of request, measured at five sizes. */
struct exchange_kind {
	const char *name;
	const char *per;
	void (*send)(struct client *c);
	void (*answer)(GString *out, uint32_t x);
	uint32_t x[5];
};

struct client {
	struct server *server;
	struct worker_client *worker;
	SoupSession *platform;
	char *worker_url;
	char *platform_url;
	const struct exchange_kind *kind;
	uint32_t x;
	uint32_t rounds;
	bool done;
};

static void on_request(SoupServer *soup, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct server *s = data;
	GInetSocketAddress *peer =
		G_INET_SOCKET_ADDRESS(soup_server_message_get_remote_address(msg));
	const char *answer;
	gsize size;

	g_mutex_lock(&s->lock);
	if (strcmp(path, VMS_PATH) == 0)
		soup_message_headers_replace(soup_server_message_get_response_headers(msg), "ETag",
					     VMS_ETAG);
	s->fd = g_socket_get_fd(soup_server_message_get_socket(msg));
	s->peer_port = g_inet_socket_address_get_port(peer);
	answer = g_bytes_get_data(s->answer, &size);
	if (soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
					 "If-None-Match")) {
		soup_server_message_set_status(msg, SOUP_STATUS_NOT_MODIFIED, NULL);
	} else {
		soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
		soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, answer,
						 size);
	}
	g_mutex_unlock(&s->lock);
}

static gpointer server_thread(gpointer data)
{
	struct server *s = data;
	GMainContext *context = g_main_context_new();
	SoupServer *soup;
	GSList *uris;

	g_main_context_push_thread_default(context);
	soup = soup_server_new(NULL, NULL);
	soup_server_add_handler(soup, NULL, on_request, s, NULL);
	if (!soup_server_listen_local(soup, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL))
		g_error("can't listen on a local port");
	uris = soup_server_get_uris(soup);
	pthread_getcpuclockid(pthread_self(), &s->clock);
	g_mutex_lock(&s->lock);
	s->port = (guint)g_uri_get_port(uris->data);
	s->loop = g_main_loop_new(context, FALSE);
	g_cond_signal(&s->ready);
	g_mutex_unlock(&s->lock);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_main_loop_run(s->loop);
	g_object_unref(soup);
	return NULL;
}

static void on_worker_reply(void *ctx, const struct worker_reply *r)
{
	struct client *c = ctx;

	if (r->result != WORKER_OK)
		g_error("%s: %s", c->kind->name, r->error);
	c->done = true;
}

static void send_renew(struct client *c)
{
	worker_http_ops.renew(c->worker, c->worker_url, 1000000, 100000, 5000, on_worker_reply, c);
}

static void send_open(struct client *c)
{
	worker_http_ops.open(c->worker, c->worker_url, "north-a-1", 1000000, on_worker_reply, c);
}

static void send_start(struct client *c)
{
	g_autofree struct worker_task *task = g_new0(struct worker_task, c->x);
	char **id = g_new0(char *, c->x + 1);

	for (uint32_t i = 0; i < c->x; i++) {
		id[i] = g_strdup_printf(JOB_ID "/%u/1", 1000 + i);
		task[i] = (struct worker_task){
			.id = id[i],
			.job = JOB_ID,
			.team = "team-0123",
			.service = "service-0123",
			.size = { .cpu_milli = 2000, .mem_bytes = (uint64_t)4 << 30 },
			.class = WORK_BATCH,
			.index = 1000 + i,
			.attempt = 1,
			.run_ms = 30000,
		};
	}
	worker_http_ops.start(c->worker, c->worker_url, 1000000, task, c->x, on_worker_reply, c);
	g_strfreev(id);
}

static void on_platform_reply(GObject *src, GAsyncResult *res, gpointer data)
{
	struct client *c = data;
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &err);
	g_autoptr(JsonParser) parser = json_parser_new();
	const char *text;
	gsize size;

	if (!body)
		g_error("%s: %s", c->kind->name, err->message);
	text = g_bytes_get_data(body, &size);
	if (size > 0 && !json_parser_load_from_data(parser, text, (gssize)size, NULL))
		g_error("%s: the response is not JSON", c->kind->name);
	c->done = true;
}

static void send_platform(struct client *c, const char *method, const char *path, GBytes *body,
			  const char *etag)
{
	g_autofree char *url = g_strconcat(c->platform_url, path, NULL);
	g_autoptr(SoupMessage) msg = soup_message_new(method, url);

	if (body)
		soup_message_set_request_body_from_bytes(msg, "application/octet-stream", body);
	if (etag)
		soup_message_headers_replace(soup_message_get_request_headers(msg), "If-None-Match",
					     etag);
	soup_session_send_and_read_async(c->platform, msg, G_PRIORITY_DEFAULT, NULL,
					 on_platform_reply, c);
}

static void send_append(struct client *c)
{
	g_autoptr(GBytes) body = g_bytes_new_take(g_malloc0(c->x), c->x);

	send_platform(c, "POST", STREAM_PATH, body, NULL);
}

static void send_read(struct client *c)
{
	send_platform(c, "GET", READ_PATH, NULL, NULL);
}

static void send_submit(struct client *c)
{
	static const char body[] = "{\"service\":\"service-0123\",\"team\":\"team-0123\","
				   "\"tasks\":1000,\"run_ms\":30000,\"id\":\"" JOB_ID "\"}";
	g_autoptr(GBytes) bytes = g_bytes_new_static(body, sizeof(body) - 1);

	send_platform(c, "POST", "/v1/jobs", bytes, NULL);
}

static void send_vms(struct client *c)
{
	send_platform(c, "GET", VMS_PATH, NULL, NULL);
}

static void send_vms_if_changed(struct client *c)
{
	send_platform(c, "GET", VMS_PATH, NULL, VMS_ETAG);
}

static void exchange(struct client *c)
{
	c->done = false;
	c->kind->send(c);
	while (!c->done)
		g_main_context_iteration(NULL, TRUE);
}

static void exchange_many(void *ctx)
{
	struct client *c = ctx;

	for (uint32_t i = 0; i < c->rounds; i++)
		exchange(c);
}

/* Payload bytes of the current connection in both directions. */
static uint64_t connection_bytes(const struct server *s)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	if (getsockopt(s->fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0)
		g_error("getsockopt(TCP_INFO) failed");
	return info.tcpi_bytes_sent - info.tcpi_bytes_retrans + info.tcpi_bytes_received;
}

static void select_exchange(struct client *c, const struct exchange_kind *kind, uint32_t x)
{
	GString *text = g_string_new(NULL);

	c->kind = kind;
	c->x = x;
	kind->answer(text, x);
	g_mutex_lock(&c->server->lock);
	if (c->server->answer)
		g_bytes_unref(c->server->answer);
	c->server->answer = g_string_free_to_bytes(text);
	g_mutex_unlock(&c->server->lock);
}

/* A request that isn't idempotent opens a new connection, so all bytes of the connection count. */
static void measure_bytes(struct client *c, const struct exchange_kind *kind)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kind->x); i++) {
		uint64_t before;
		guint port;

		select_exchange(c, kind, kind->x[i]);
		exchange(c);
		before = connection_bytes(c->server);
		port = c->server->peer_port;
		exchange(c);
		if (c->server->peer_port != port)
			before = 0;
		bench_print_point(kind->name, "bytes", kind->per, c->x,
				  (double)(connection_bytes(c->server) - before));
	}
}

static double server_cpu_ns(const struct server *s)
{
	struct timespec t;

	clock_gettime(s->clock, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Processor time of the server, as the gateway spends it, with a new connection per request. */
static void measure_server_cpu(struct client *c, const struct exchange_kind *kind)
{
	select_exchange(c, kind, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(exchange_sizes); i++) {
		double least_ns = INFINITY;

		c->rounds = exchange_sizes[i];
		for (int k = 0; k < SERVER_RUNS; k++) {
			double start = server_cpu_ns(c->server);

			exchange_many(c);
			least_ns = fmin(least_ns, server_cpu_ns(c->server) - start);
		}
		bench_print_point("serve_exchange_ns", "ns", "exchanges", c->rounds, least_ns);
	}
}

static void measure_client_cpu(struct client *c, const char *name, const struct exchange_kind *kind,
			       uint32_t x)
{
	select_exchange(c, kind, x);
	exchange(c);
	for (size_t i = 0; i < G_N_ELEMENTS(exchange_sizes); i++) {
		c->rounds = exchange_sizes[i];
		bench_measure(name, "exchanges", c->rounds, exchange_many, c);
	}
}

static void answer_renew(GString *out, uint32_t x)
{
	g_string_append(out, "{\"leaving\":false,\"seq\":100000,\"ended\":[],\"usage\":[");
	for (uint32_t i = 0; i < x; i++)
		g_string_append_printf(out,
				       "%s{\"id\":\"" JOB_ID
				       "/%u/1\",\"cpu_milli\":1750,\"mem_bytes\":3221225472,"
				       "\"accel\":0}",
				       i ? "," : "", 1000 + i);
	g_string_append(out, "]}");
}

static void answer_ended(GString *out, uint32_t x)
{
	g_string_append(out, "{\"leaving\":false,\"seq\":100000,\"ended\":[");
	for (uint32_t i = 0; i < x; i++)
		g_string_append_printf(out,
				       "%s{\"id\":\"" JOB_ID "/%u/1\",\"exit\":0,\"reason\":\"\"}",
				       i ? "," : "", 1000 + i);
	g_string_append(out, "],\"usage\":[]}");
}

static void answer_start(GString *out, uint32_t x)
{
	g_string_append(out, "{\"results\":[");
	for (uint32_t i = 0; i < x; i++)
		g_string_append_printf(out, "%s{\"id\":\"" JOB_ID "/%u/1\",\"ok\":true}",
				       i ? "," : "", 1000 + i);
	g_string_append(out, "]}");
}

static void answer_open(GString *out, uint32_t x)
{
	g_string_append(out, "{\"epoch\":1000000,\"leaving\":false,\"tasks\":[");
	for (uint32_t i = 0; i < x; i++)
		g_string_append_printf(out,
				       "%s{\"id\":\"" JOB_ID "/%u/1\",\"job\":\"" JOB_ID
				       "\",\"index\":%u,"
				       "\"attempt\":1,\"team\":\"team-0123\",\"service\":"
				       "\"service-0123\",\"class\":\"batch\",\"cpu_milli\":2000,"
				       "\"mem_bytes\":4294967296,\"accel\":0,\"state\":\"running\","
				       "\"exit\":0}",
				       i ? "," : "", 1000 + i, 1000 + i);
	g_string_append(out, "]}");
}

static void answer_vms(GString *out, uint32_t x)
{
	g_string_append(out, "{\"vms\":[");
	for (uint32_t i = 0; i < x; i++)
		g_string_append_printf(out,
				       "%s{\"name\":\"worker-%04u\",\"kind\":\"worker\",\"dc\":"
				       "\"north-a\",\"region\":\"north\",\"rack\":\"north-a-%03u\","
				       "\"host\":\"10.20.%u.%u\",\"port\":8000,\"path\":\"\","
				       "\"leaving\":false,\"cpu_milli\":32000,\"mem_bytes\":"
				       "137438953472,\"accel\":0,\"service\":\"service-0123\","
				       "\"slots\":8,\"connections\":64}",
				       i ? "," : "", i, i / 5, 100 + i / 200, 100 + i % 100);
	g_string_append(out, "]}");
}

static void parse_json(void *ctx)
{
	const GString *text = ctx;
	g_autoptr(JsonParser) parser = json_parser_new();

	if (!json_parser_load_from_data(parser, text->str, (gssize)text->len, NULL))
		g_error("can't parse the list of VMs");
}

/* Time and memory of parsing the list of VMs, for which the parser builds a tree. */
static void measure_vms_parse(void)
{
	static const uint32_t vms[] = { 160, 320, 640, 1280 };

	for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
		GString *text = g_string_new(NULL);

		answer_vms(text, vms[i]);
		bench_measure("vms_parse", "VMs", vms[i], parse_json, text);
		if (!bench_under_callgrind()) {
			JsonParser *parser = json_parser_new();
			uint64_t before = bench_heap_bytes();

			json_parser_load_from_data(parser, text->str, (gssize)text->len, NULL);
			bench_print_point("vms_parse_memory", "bytes", "VMs", vms[i],
					  (double)(bench_heap_bytes() - before));
			g_object_unref(parser);
		}
		g_string_free(text, TRUE);
	}
}

static void answer_append(GString *out, uint32_t x)
{
	g_string_append(out, "{\"offset\":10000000}");
}

static void answer_submit(GString *out, uint32_t x)
{
	g_string_append(out, "{\"id\":\"" JOB_ID "\",\"offset\":10000000,\"tasks\":[");
	for (uint32_t i = 0; i < x; i++)
		g_string_append(out, i ? ",0" : "0");
	g_string_append(out, "]}");
}

static void append_record(GString *out, uint32_t i, uint32_t bytes)
{
	uint8_t *record = g_malloc0(bytes);
	g_autofree char *data = g_base64_encode(record, bytes);

	g_free(record);
	g_string_append_printf(out, "%s{\"offset\":%u,\"time_ms\":1767225600000,\"data\":\"%s\"}",
			       i ? "," : "", 10000000 + i, data);
}

static void append_records(GString *out, uint32_t records, uint32_t bytes)
{
	g_string_append(out, "{\"first\":9000000,\"next\":10000001,\"records\":[");
	for (uint32_t i = 0; i < records; i++)
		append_record(out, i, bytes);
	g_string_append(out, "]}");
}

/* One record of x bytes. */
static void answer_read(GString *out, uint32_t x)
{
	append_records(out, 1, x);
}

static void answer_read_many(GString *out, uint32_t x)
{
	append_records(out, x, 0);
}

static const struct exchange_kind exchange_kinds[] = {
	{ "renew_bytes", "tasks with usage", send_renew, answer_renew, { 0, 4, 16, 64, 256 } },
	{ "renew_ended_bytes", "ended tasks", send_renew, answer_ended, { 0, 4, 16, 64, 256 } },
	{ "start_bytes", "tasks", send_start, answer_start, { 1, 4, 16, 64, 256 } },
	{ "open_bytes", "running tasks", send_open, answer_open, { 0, 4, 16, 64, 256 } },
	{ "vms_bytes", "VMs", send_vms, answer_vms, { 10, 40, 160, 640, 2560 } },
	{ "vms_same_bytes", "VMs", send_vms_if_changed, answer_vms, { 10, 40, 160, 640, 2560 } },
	{ "submit_bytes", "tasks told of", send_submit, answer_submit, { 0, 4, 16, 64, 256 } },
	{ "append_bytes",
	  "bytes of the record",
	  send_append,
	  answer_append,
	  { 64, 256, 1024, 4096, 16384 } },
	{ "read_records_bytes",
	  "empty records",
	  send_read,
	  answer_read_many,
	  { 1, 4, 16, 64, 256 } },
	{ "read_bytes",
	  "bytes of the record",
	  send_read,
	  answer_read,
	  { 64, 256, 1024, 4096, 16384 } },
};

static const struct exchange_kind *find_exchange(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(exchange_kinds); i++)
		if (strcmp(exchange_kinds[i].name, name) == 0)
			return &exchange_kinds[i];
	g_error("unknown exchange: %s", name);
}

static void measure_all(struct client *c)
{
	if (!bench_under_callgrind()) {
		for (size_t i = 0; i < G_N_ELEMENTS(exchange_kinds); i++)
			measure_bytes(c, &exchange_kinds[i]);
		measure_server_cpu(c, find_exchange("submit_bytes"));
	}
	measure_client_cpu(c, "renew_exchange", find_exchange("renew_bytes"), RENEWED_TASKS);
	measure_client_cpu(c, "start_exchange", find_exchange("start_bytes"), 1);
	measure_client_cpu(c, "append_exchange", find_exchange("append_bytes"), 256);
	measure_client_cpu(c, "read_exchange", find_exchange("read_bytes"), 256);
	measure_vms_parse();
}

static void start_server(struct server *s)
{
	g_mutex_init(&s->lock);
	g_cond_init(&s->ready);
	g_mutex_lock(&s->lock);
	g_thread_unref(g_thread_new("server", server_thread, s));
	while (!s->loop)
		g_cond_wait(&s->ready, &s->lock);
	g_mutex_unlock(&s->lock);
}

int main(void)
{
	struct settings set = { .listen_host = (char *)"127.0.0.1",
				.lease_ms = 15000,
				.task_lease_ms = 45000,
				.renew_ms = 5000 };
	struct server server = { .fd = -1 };
	struct client c = { .server = &server };
	struct traffic *traffic = traffic_create();

	start_server(&server);
	c.worker = worker_client_create(&set, traffic);
	c.platform = soup_session_new();
	c.platform_url = g_strdup_printf("http://127.0.0.1:%u", server.port);
	c.worker_url = g_strconcat(c.platform_url, WORKER_PATH, NULL);
	measure_all(&c);
	worker_client_destroy(c.worker);
	traffic_destroy(traffic);
	g_object_unref(c.platform);
	g_free(c.worker_url);
	g_free(c.platform_url);
	return 0;
}
