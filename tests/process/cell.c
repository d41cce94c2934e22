#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#include <criterion/criterion.h>
#include <glib/gstdio.h>

#include "cell.h"
#include "cell_plan.h"
#include "version/config.h"

#define READY_MS	   15000
#define POLL_MS		   20
#define SETTLE_MS	   1500 /* several heartbeats, and the voters' guard time */
#define CALL_MS		   5000
#define END_MS		   40000
#define CALLS_MAX	   4096
#define DECLARED_MEM_BYTES 1000000

struct cell {
	struct cell_plan plan;
	SoupSession *session;
	GSubprocess *platform;
	GSubprocess *workers[CELL_DCS_MAX];
	GSubprocess *daemons[PLAN_DAEMONS_MAX];
	GPtrArray *replies;
	unsigned int violations;
};

static void die_with_parent(gpointer data)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GSubprocess *spawn(const struct cell *c, const char *name, const char *const *argv)
{
	g_autoptr(GSubprocessLauncher) l = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	g_autofree char *log = g_strdup_printf("%s/%s.log", c->plan.folder, name);
	g_autoptr(GError) error = NULL;
	GSubprocess *p;

	g_subprocess_launcher_set_stdout_file_path(l, log);
	g_subprocess_launcher_set_flags(l, G_SUBPROCESS_FLAGS_STDERR_MERGE);
	g_subprocess_launcher_set_child_setup(l, die_with_parent, NULL, NULL);
	p = g_subprocess_launcher_spawnv(l, argv, &error);
	cr_assert_not_null(p, "%s: %s", name, error ? error->message : "");
	return p;
}

static gboolean on_poll(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_CONTINUE;
}

bool cell_wait_until(struct cell *c, bool (*fn)(struct cell *c, void *ctx), void *ctx,
		     unsigned int wait_ms)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)wait_ms * 1000;
	bool fired = false;
	guint tick = g_timeout_add(POLL_MS, on_poll, &fired);
	bool done = fn(c, ctx);

	while (!done && g_get_monotonic_time() < end_us) {
		g_main_context_iteration(NULL, TRUE);
		done = fn(c, ctx);
	}
	g_source_remove(tick);
	return done;
}

static bool never(struct cell *c, void *ctx)
{
	return false;
}

unsigned int cell_call_count(const struct cell *c)
{
	return c->replies->len;
}

void cell_sleep(struct cell *c, unsigned int wait_ms)
{
	cell_wait_until(c, never, NULL, wait_ms);
}

static bool has_ended(struct cell *c, void *ctx)
{
	return ((const struct reply *)ctx)->ended;
}

static bool all_ended(struct cell *c, void *ctx)
{
	for (guint i = 0; i < c->replies->len; i++) {
		if (!((const struct reply *)g_ptr_array_index(c->replies, i))->ended)
			return false;
	}
	return true;
}

bool cell_wait(struct cell *c, unsigned int wait_ms)
{
	return cell_wait_until(c, all_ended, NULL, wait_ms);
}

static struct reply *send_url(struct cell *c, const char *method, const char *url, const char *body,
			      const struct reply_header *headers)
{
	struct reply *r = reply_send(c->session, method, url, body, headers);

	g_ptr_array_add(c->replies, r);
	return r;
}

struct reply *cell_send(struct cell *c, unsigned int i, const char *method, const char *path,
			const char *body, const struct reply_header *headers)
{
	const struct plan_daemon *d = &c->plan.daemons[i];
	g_autofree char *url = g_strdup_printf("http://%s:%u%s", d->host, d->http_port, path);

	return send_url(c, method, url, body, headers);
}

struct reply *cell_request(struct cell *c, unsigned int i, const char *service, const char *body,
			   unsigned int deadline_ms, const char *key)
{
	g_autofree char *path = g_strdup_printf("/v1/requests/%s", service);
	g_autofree char *deadline = g_strdup_printf("%u", deadline_ms);
	const struct reply_header headers[] = {
		{ "Kw-Team", CELL_TEAM },
		{ "Kw-Deadline-Ms", deadline },
		{ key ? "Idempotency-Key" : NULL, key },
		{ NULL, NULL },
	};

	return cell_send(c, i, "POST", path, body, headers);
}

struct reply *cell_send_platform(struct cell *c, const char *method, const char *path,
				 const char *body)
{
	g_autofree char *url = g_strdup_printf("%s%s", c->plan.platform_url, path);

	return send_url(c, method, url, body, NULL);
}

struct reply *cell_send_workers(struct cell *c, unsigned int dc, const char *method,
				const char *path, const char *body)
{
	const struct plan_dc *d = &c->plan.dcs[dc];
	g_autofree char *url =
		g_strdup_printf("http://%s:%u%s", d->workers_host, d->workers_port, path);

	return send_url(c, method, url, body, NULL);
}

/* Waits for a reply, which has to have status 200. */
static void expect_ok(struct cell *c, const struct reply *r, const char *what)
{
	cr_assert(cell_wait_until(c, has_ended, (void *)r, CALL_MS), "no answer to %s", what);
	cr_assert_eq(r->status, 200, "%s: %u %s %s", what, r->status, r->error, r->head);
}

void cell_platform_fault(struct cell *c, const char *json)
{
	expect_ok(c, cell_send_platform(c, "POST", "/fault", json), json);
}

void cell_worker_fault(struct cell *c, unsigned int dc, const char *json)
{
	expect_ok(c, cell_send_workers(c, dc, "POST", "/fault", json), json);
}

static bool answers_ok(struct cell *c, void *ctx)
{
	g_autofree char *url = g_strdup((const char *)ctx);
	struct reply *r = send_url(c, "GET", url, NULL, NULL);

	return cell_wait_until(c, has_ended, r, CALL_MS) && r->status == 200;
}

static void wait_url(struct cell *c, const char *url)
{
	cr_assert(cell_wait_until(c, answers_ok, (void *)url, READY_MS),
		  "%s did not answer 200 in time; see %s", url, c->plan.folder);
}

void cell_wait_ready(struct cell *c, unsigned int i)
{
	const struct plan_daemon *d = &c->plan.daemons[i];
	g_autofree char *url = g_strdup_printf("http://%s:%u/readyz", d->host, d->http_port);

	wait_url(c, url);
}

static void start_platform(struct cell *c)
{
	const char *address = c->plan.platform_url + strlen("http://");
	const char *argv[] = { STANDIN_PLATFORM, "--listen", address, "--vms", c->plan.vms, NULL };
	g_autofree char *url = g_strdup_printf("%s/v1/vms", c->plan.platform_url);

	c->platform = spawn(c, "platform", argv);
	wait_url(c, url);
}

static void start_workers(struct cell *c, unsigned int dc)
{
	const char *name = c->plan.dcs[dc].name;
	g_autofree char *record = cell_plan_record_path(&c->plan, dc);
	const char *argv[] = { STANDIN_WORKERS, "--vms", c->plan.vms, "--dc", name,
			       "--record",	record,	 NULL };
	g_autofree char *log = g_strdup_printf("workers-%s", name);
	g_autofree char *url = g_strdup_printf("http://%s:%u/healthz", c->plan.dcs[dc].workers_host,
					       c->plan.dcs[dc].workers_port);

	c->workers[dc] = spawn(c, log, argv);
	wait_url(c, url);
}

void cell_daemon_start(struct cell *c, unsigned int i)
{
	const char *argv[] = { DAEMON, "--settings", c->plan.daemons[i].settings, NULL };

	if (c->daemons[i])
		g_object_unref(c->daemons[i]);
	c->daemons[i] = spawn(c, c->plan.daemons[i].name, argv);
}

static struct config_change service_change(const char *name, enum work_class class,
					   enum idempotency idempotency)
{
	struct config_change ch = {
		.service = { .team = CELL_TEAM,
			     .class = class,
			     .idempotency = idempotency,
			     .size = { .mem_bytes = DECLARED_MEM_BYTES, .cpu_milli = 100 },
			     .run_ms = 1000,
			     .deadline_ms = 10000,
			     .answer_max_bytes = 128 * 1024 * 1024 },
	};

	g_strlcpy(ch.service.name, name, sizeof(ch.service.name));
	return ch;
}

static void publish(struct cell *c)
{
	struct config_change changes[] = {
		{ .is_team = true, .team = { .name = CELL_TEAM, .weight = 1 } },
		service_change(CELL_REPEAT, WORK_REQUEST, IDEMPOTENT),
		service_change(CELL_ONCE, WORK_REQUEST, NON_IDEMPOTENT),
		service_change(CELL_BATCH, WORK_BATCH, IDEMPOTENT),
	};
	g_autofree char *url =
		g_strdup_printf("%s/v1/streams/config/records", c->plan.platform_url);
	g_autoptr(GInputStream) in = NULL;
	g_autoptr(GBytes) answer = NULL;
	g_autoptr(SoupMessage) msg = soup_message_new("POST", url);
	size_t size;
	uint8_t *data;

	g_strlcpy(changes[0].team.home_dc, c->plan.dcs[0].name, sizeof(changes[0].team.home_dc));
	data = config_encode_record("test", 1, changes, G_N_ELEMENTS(changes), &size);
	in = g_memory_input_stream_new_from_data(data, (gssize)size, g_free);
	soup_message_set_request_body(msg, "application/octet-stream", in, (gssize)size);
	answer = soup_session_send_and_read(c->session, msg, NULL, NULL);
	cr_assert(answer && soup_message_get_status(msg) == 200,
		  "the log did not accept the record");
}

static bool all_workers_owned(struct cell *c, void *ctx)
{
	struct records *r = cell_records(c);
	bool all_owned =
		records_count(r, "session", NULL, NULL) >= records_count(r, "worker", NULL, NULL);

	records_destroy(r);
	return all_owned;
}

/* Waits until each worker has an owner and heartbeats have spread the owners' load. */
static void wait_settled(struct cell *c)
{
	cr_assert(cell_wait_until(c, all_workers_owned, NULL, READY_MS),
		  "some workers have no owner; see %s", c->plan.folder);
	cell_sleep(c, SETTLE_MS);
}

struct cell *cell_create(const struct cell_conf *conf)
{
	struct cell *c = g_new0(struct cell, 1);

	cell_plan_create(&c->plan, conf);
	c->replies = g_ptr_array_new_with_free_func(g_free);
	c->session = soup_session_new_with_options("max-conns", CALLS_MAX, "max-conns-per-host",
						   CALLS_MAX, "timeout", 0, NULL);
	start_platform(c);
	publish(c);
	for (unsigned int dc = 0; dc < conf->dcs; dc++)
		start_workers(c, dc);
	for (unsigned int i = 0; i < cell_size(c); i++)
		cell_daemon_start(c, i);
	for (unsigned int i = 0; i < cell_size(c); i++)
		cell_wait_ready(c, i);
	if (cell_size(c))
		wait_settled(c);
	return c;
}

static void kill_process(GSubprocess *p)
{
	if (!p)
		return;
	g_subprocess_force_exit(p);
	g_subprocess_wait(p, NULL, NULL);
	g_object_unref(p);
}

void cell_destroy(struct cell *c)
{
	for (unsigned int i = 0; i < cell_size(c); i++)
		kill_process(c->daemons[i]);
	for (unsigned int dc = 0; dc < c->plan.n_dcs; dc++)
		kill_process(c->workers[dc]);
	kill_process(c->platform);
	soup_session_abort(c->session);
	cell_wait(c, CALL_MS);
	g_object_unref(c->session);
	if (c->violations || g_getenv("KW_KEEP_CELL"))
		g_printerr("see %s\n", c->plan.folder);
	else
		cell_plan_remove_folder(&c->plan);
	cell_plan_clear(&c->plan);
	g_ptr_array_unref(c->replies);
	g_free(c);
}

unsigned int cell_size(const struct cell *c)
{
	return c->plan.n_daemons;
}

const char *cell_daemon_name(const struct cell *c, unsigned int i)
{
	return c->plan.daemons[i].name;
}

unsigned int cell_daemon_find(const struct cell *c, const char *name)
{
	for (unsigned int i = 0; i < cell_size(c); i++) {
		if (!g_strcmp0(c->plan.daemons[i].name, name))
			return i;
	}
	cr_assert_fail("no daemon with the name %s", name);
	return 0;
}

int64_t cell_daemon_peak_bytes(const struct cell *c, unsigned int i)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%s/status", g_subprocess_get_identifier(c->daemons[i]));
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	line = strstr(text, "VmHWM:");
	return line ? g_ascii_strtoll(line + strlen("VmHWM:"), NULL, 10) * 1024 : -1;
}

void cell_daemon_signal(struct cell *c, unsigned int i, int signal)
{
	g_subprocess_send_signal(c->daemons[i], signal);
}

static bool has_exited(struct cell *c, void *ctx)
{
	return g_subprocess_get_identifier(ctx) == NULL;
}

int cell_daemon_wait_end(struct cell *c, unsigned int i)
{
	GSubprocess *p = c->daemons[i];

	cr_assert(cell_wait_until(c, has_exited, p, END_MS), "%s did not end",
		  cell_daemon_name(c, i));
	g_subprocess_wait(p, NULL, NULL);
	return g_subprocess_get_if_exited(p) ? g_subprocess_get_exit_status(p) : -1;
}

struct records *cell_records(const struct cell *c)
{
	struct records *r = records_create();

	for (unsigned int dc = 0; dc < c->plan.n_dcs; dc++) {
		g_autofree char *path = cell_plan_record_path(&c->plan, dc);

		cr_assert(records_add_file(r, path), "can't read %s", path);
	}
	return r;
}

unsigned int cell_check(struct cell *c, int64_t leaving_grace_us)
{
	struct records *r = cell_records(c);
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);

	for (int check = 0; check < RECORDS_CHECKS; check++)
		c->violations +=
			records_check(r, (enum records_check)check, leaving_grace_us, found);
	for (guint i = 0; i < found->len; i++)
		g_printerr("%s\n", (const char *)g_ptr_array_index(found, i));
	g_ptr_array_unref(found);
	records_destroy(r);
	return c->violations;
}

struct reply *cell_send_bytes(struct cell *c, unsigned int i, const char *path, const uint8_t *data,
			      size_t size)
{
	const struct plan_daemon *d = &c->plan.daemons[i];
	g_autofree char *url = g_strdup_printf("http://%s:%u%s", d->host, d->http_port, path);
	g_autoptr(GBytes) bytes = g_bytes_new(data, size);
	struct reply *r = reply_send_bytes(c->session, url, bytes);

	g_ptr_array_add(c->replies, r);
	return r;
}

char *cell_record_path(const struct cell *c, unsigned int dc)
{
	return cell_plan_record_path(&c->plan, dc);
}

const char *cell_daemon_host(const struct cell *c, unsigned int i)
{
	return c->plan.daemons[i].host;
}

unsigned int cell_dcs(const struct cell *c)
{
	return c->plan.n_dcs;
}

unsigned int cell_owner_of(struct cell *c, const char *worker)
{
	struct records *r = cell_records(c);
	g_autofree char *name = records_owner(r, worker);
	unsigned int i = cell_daemon_find(c, name);

	records_destroy(r);
	return i;
}

bool cell_has_two_runs(struct cell *c, void *worker)
{
	struct records *r = cell_records(c);
	unsigned int begun = records_count(r, "run_begin", worker, NULL);
	unsigned int ended = records_count(r, "run_end", worker, NULL);

	records_destroy(r);
	return begun >= ended + 2;
}
