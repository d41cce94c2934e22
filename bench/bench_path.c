#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <libsoup/soup.h>

/*
 * bench_path - sends requests to a URL and prints the throughput and the processor time per request
 *
 * The processor time is that of the process with the given id. The JSON lines have no bound.
 */
struct load {
	SoupSession *session;
	GMainLoop *loop;
	const char *url;
	const char *team;
	const char *body;
	const char *epoch;
	uint32_t remaining;
	uint32_t in_flight;
	uint32_t failed;
};

static void send_one(struct load *l);

static void on_answer(GObject *src, GAsyncResult *res, gpointer data)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GBytes) body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &err);
	SoupMessage *msg = soup_session_get_async_result_message(SOUP_SESSION(src), res);
	struct load *l = data;

	if (err || soup_message_get_status(msg) != SOUP_STATUS_OK) {
		gsize size = 0;
		const char *text = body ? g_bytes_get_data(body, &size) : "";

		if (l->failed++ == 0)
			fprintf(stderr, "first failure: %s %.*s\n", err ? err->message : "",
				(int)size, text ? text : "");
	}
	l->in_flight--;
	if (l->remaining)
		send_one(l);
	else if (l->in_flight == 0)
		g_main_loop_quit(l->loop);
}

static void send_one(struct load *l)
{
	g_autoptr(SoupMessage) msg = soup_message_new("POST", l->url);
	g_autoptr(GBytes) body = g_bytes_new_static(l->body, strlen(l->body));
	SoupMessageHeaders *h = soup_message_get_request_headers(msg);

	soup_message_headers_replace(h, "Kw-Team", l->team);
	soup_message_headers_replace(h, "Kw-Service", "coach-desk");
	soup_message_headers_replace(h, "Kw-Request-Id", "bench");
	soup_message_headers_replace(h, "Kw-Epoch", l->epoch);
	soup_message_add_flags(msg, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_set_request_body_from_bytes(msg, "application/json", body);
	l->remaining--;
	l->in_flight++;
	soup_session_send_and_read_async(l->session, msg, G_PRIORITY_DEFAULT, NULL, on_answer, l);
}

/* Processor time of a process in microseconds, 0 if it is unknown. */
static uint64_t cpu_us(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/schedstat", pid);
	g_autofree char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	return g_ascii_strtoull(text, NULL, 10) / 1000;
}

static int run_load(struct load *l, const char *name, uint32_t n, uint32_t concurrency, int pid)
{
	int64_t start_us = g_get_monotonic_time();
	uint64_t used_us = cpu_us(pid);
	double elapsed_s;

	l->remaining = n;
	for (uint32_t i = 0; i < concurrency && l->remaining; i++)
		send_one(l);
	g_main_loop_run(l->loop);
	elapsed_s = (double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;
	used_us = cpu_us(pid) - used_us;
	printf("{\"name\":\"%s_requests\",\"value\":%.0f,\"unit\":\"1/"
	       "s\",\"bound\":null,\"ok\":%s}\n",
	       name, n / elapsed_s, l->failed ? "false" : "true");
	printf("{\"name\":\"%s_cpu\",\"value\":%.1f,\"unit\":\"us/"
	       "request\",\"bound\":null,\"ok\":%s}\n",
	       name, (double)used_us / n, l->failed ? "false" : "true");
	return l->failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *url = arg_str1(NULL, "url", "URL", "URL of the requests");
	struct arg_str *name = arg_str1(NULL, "name", "NAME", "prefix of the measure names");
	struct arg_str *team = arg_str0(NULL, "team", "NAME", "team of the requests");
	struct arg_str *epoch = arg_str0(NULL, "epoch", "N", "epoch of a session with the worker");
	struct arg_int *n = arg_int0("n", "requests", "N", "number of requests");
	struct arg_int *c = arg_int0("c", "concurrency", "N", "requests in flight");
	struct arg_int *pid =
		arg_int1(NULL, "pid", "PID", "process whose processor time is measured");
	struct arg_end *end = arg_end(4);
	void *table[] = { url, name, team, epoch, n, c, pid, end };
	int rc = EXIT_FAILURE;

	n->ival[0] = 2000;
	c->ival[0] = 32;
	team->sval[0] = "clips";
	epoch->sval[0] = "0";
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
	} else {
		struct load l = { .url = url->sval[0],
				  .team = team->sval[0],
				  .epoch = epoch->sval[0],
				  .body = "{\"answer_bytes\":200}" };

		l.loop = g_main_loop_new(NULL, FALSE);
		l.session = soup_session_new_with_options("max-conns", 256, "max-conns-per-host",
							  256, NULL);
		rc = run_load(&l, name->sval[0], (uint32_t)n->ival[0], (uint32_t)c->ival[0],
			      pid->ival[0]);
		g_object_unref(l.session);
		g_main_loop_unref(l.loop);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
