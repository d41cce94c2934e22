#include <string.h>

#include <criterion/criterion.h>

#include "operator.h"
#include "process/uuid7.h"

#define JOBS_MAX	    16
#define ANSWER_MS	    5000
#define ROLLOUT_MS	    10000
#define SAMPLE_MS	    40
#define SERVICE_CPU_MILLI   1000
#define SERVICE_MEM_BYTES   1000000
#define SERVICE_RUN_MS	    1000
#define SERVICE_DEADLINE_MS 10000

/* Sampling of one daemon. */
struct version_sample {
	struct reply *pending; /* status request in flight, owned by the cell */
	uint64_t version;
	bool is_starting; /* started again and not ready since: it may have no version */
};

struct version_sampler {
	struct cell *cell;
	struct version_sample daemon[OPERATOR_DAEMONS_MAX];
	unsigned int regressions;
	guint timer;
};

struct wanted_version {
	uint32_t daemons;
	uint64_t version;
};

struct wanted_state {
	unsigned int daemon;
	const char *id;
	const char *states;
};

struct config_change operator_service(const char *name, enum work_class class,
				      enum idempotency idempotency, uint64_t base)
{
	struct config_change ch = {
		.base_version = base,
		.service = { .team = CELL_TEAM,
			     .class = class,
			     .idempotency = idempotency,
			     .size = { .mem_bytes = SERVICE_MEM_BYTES,
				       .cpu_milli = SERVICE_CPU_MILLI },
			     .run_ms = SERVICE_RUN_MS,
			     .deadline_ms = SERVICE_DEADLINE_MS,
			     .answer_max_bytes = SERVICE_MEM_BYTES },
	};

	g_strlcpy(ch.service.name, name, sizeof(ch.service.name));
	return ch;
}

struct reply *operator_publish(struct cell *c, unsigned int i, const char *author, uint64_t nonce,
			       const struct config_change *change, size_t n)
{
	size_t size;
	g_autofree uint8_t *data = config_encode_record(author, nonce, change, n, &size);

	return cell_send_bytes(c, i, "/v1/config", data, size);
}

static bool has_ended(struct cell *c, void *ctx)
{
	return ((const struct reply *)ctx)->ended;
}

bool operator_wait(struct cell *c, const struct reply *r, unsigned int wait_ms)
{
	return cell_wait_until(c, has_ended, (void *)r, wait_ms);
}

uint64_t operator_number(const struct reply *r, const char *name)
{
	g_autofree char *key = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(r->head, key);

	return at ? g_ascii_strtoull(at + strlen(key), NULL, 10) : 0;
}

uint64_t operator_version(struct cell *c, unsigned int i)
{
	struct reply *r = cell_send(c, i, "GET", "/v1/status", NULL, NULL);

	if (!operator_wait(c, r, ANSWER_MS) || r->status != 200)
		return 0;
	return operator_number(r, "config_version");
}

static bool have_version(struct cell *c, void *ctx)
{
	const struct wanted_version *w = ctx;

	for (unsigned int i = 0; i < cell_size(c); i++) {
		if ((w->daemons & 1U << i) && operator_version(c, i) < w->version)
			return false;
	}
	return true;
}

bool operator_wait_version(struct cell *c, uint32_t daemons, uint64_t version, unsigned int wait_ms)
{
	struct wanted_version w = { .daemons = daemons, .version = version };

	return cell_wait_until(c, have_version, &w, wait_ms);
}

void operator_must_publish(struct cell *c, unsigned int i, uint64_t nonce,
			   const struct config_change *change, size_t n, uint32_t daemons)
{
	struct reply *r = operator_publish(c, i, "operator", nonce, change, n);

	cr_assert(operator_wait(c, r, ROLLOUT_MS), "no answer to a publish");
	cr_assert_eq(r->status, 200, "publish: %u %s", r->status, r->head);
	cr_assert(operator_wait_version(c, daemons, operator_number(r, "version"), ROLLOUT_MS),
		  "version %" G_GUINT64_FORMAT " did not reach all daemons",
		  operator_number(r, "version"));
}

const char *operator_job_id(unsigned int n)
{
	static char ids[JOBS_MAX][UUID7_TEXT_BYTES];
	uint8_t fixed[10] = { 0 };

	g_assert(n < JOBS_MAX);
	fixed[sizeof(fixed) - 1] = (uint8_t)n;
	if (!ids[n][0])
		uuid7_make(g_get_real_time() / 1000, fixed, ids[n]);
	return ids[n];
}

struct reply *operator_submit(struct cell *c, unsigned int i, const char *team, const char *service,
			      const char *id, unsigned int tasks, unsigned int run_ms)
{
	g_autofree char *body = g_strdup_printf(
		"{\"team\":\"%s\",\"service\":\"%s\",\"id\":\"%s\",\"tasks\":%u,\"run_ms\":%u}",
		team, service, id, tasks, run_ms);

	return cell_send(c, i, "POST", "/v1/jobs", body, NULL);
}

char *operator_job_state(struct cell *c, unsigned int i, const char *id)
{
	static const char key[] = "\"state\":\"";
	g_autofree char *path = g_strdup_printf("/v1/jobs/%s", id);
	struct reply *r = cell_send(c, i, "GET", path, NULL, NULL);
	const char *at;
	const char *end;

	if (!operator_wait(c, r, ANSWER_MS) || r->status != 200)
		return g_strdup("");
	at = strstr(r->head, key);
	end = at ? strchr(at + strlen(key), '"') : NULL;
	return end ? g_strndup(at + strlen(key), (gsize)(end - at) - strlen(key)) : g_strdup("");
}

static bool has_state(struct cell *c, void *ctx)
{
	const struct wanted_state *w = ctx;
	g_autofree char *state = operator_job_state(c, w->daemon, w->id);
	g_auto(GStrv) states = g_strsplit(w->states, "|", -1);

	return g_strv_contains((const char *const *)states, state);
}

bool operator_wait_job(struct cell *c, unsigned int i, const char *id, const char *states,
		       unsigned int wait_ms)
{
	struct wanted_state w = { .daemon = i, .id = id, .states = states };

	return cell_wait_until(c, has_state, &w, wait_ms);
}

static void check_sample(struct version_sampler *s, unsigned int i, const struct reply *r)
{
	struct version_sample *d = &s->daemon[i];
	uint64_t version = operator_number(r, "config_version");

	if (r->status != 200)
		return;
	if (version < d->version) {
		g_printerr("%s went back from version %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
			   "\n",
			   cell_daemon_name(s->cell, i), d->version, version);
		s->regressions++;
	}
	d->version = MAX(version, d->version);
}

/* A starting daemon has no version before it is ready; /readyz reports both at once. */
static gboolean on_sample(gpointer data)
{
	struct version_sampler *s = data;

	for (unsigned int i = 0; i < cell_size(s->cell); i++) {
		struct version_sample *d = &s->daemon[i];

		if (d->pending && !d->pending->ended)
			continue;
		if (d->pending)
			check_sample(s, i, d->pending);
		if (d->pending && d->pending->status == 200)
			d->is_starting = false;
		d->pending = cell_send(s->cell, i, "GET", d->is_starting ? "/readyz" : "/v1/status",
				       NULL, NULL);
	}
	return G_SOURCE_CONTINUE;
}

struct version_sampler *version_sampler_create(struct cell *c)
{
	struct version_sampler *s = g_new0(struct version_sampler, 1);

	cr_assert_leq(cell_size(c), OPERATOR_DAEMONS_MAX);
	s->cell = c;
	s->timer = g_timeout_add(SAMPLE_MS, on_sample, s);
	return s;
}

void version_sampler_restarted(struct version_sampler *s, unsigned int i)
{
	s->daemon[i].is_starting = true;
	s->daemon[i].pending = NULL;
}

unsigned int version_sampler_end(struct version_sampler *s)
{
	unsigned int regressions = s->regressions;

	g_source_remove(s->timer);
	g_free(s);
	return regressions;
}
