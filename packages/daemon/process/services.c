#define G_LOG_DOMAIN "services"

#include <string.h>

#include "clock.h"
#include "dispatch_priv.h"
#include "log.h"

/* An append is not repeated while its record may still arrive. */
#define REAPPEND_MS 5000

/* The last record appended for a service. */
struct appended_spec {
	uint64_t version;
	int64_t at_ms;
};

struct spec_append {
	struct dispatch *dispatch;
	char *service;
};

static void on_submitted(void *ctx, enum append_result result, uint64_t offset, const char *why)
{
	struct spec_append *s = ctx;

	if (result != APPEND_OK) {
		log_info("service", s->service, "record of the service not confirmed: %s", why);
		if (result == APPEND_REFUSED)
			g_hash_table_remove(s->dispatch->appended_services, s->service);
	}
	g_free(s->service);
	g_free(s);
}

static void append_spec(struct dispatch *d, const struct job_spec *spec)
{
	struct spec_append *s;
	struct appended_spec *last = g_hash_table_lookup(d->appended_services, spec->service);
	g_autofree uint8_t *data = NULL;
	size_t size;

	if (last && last->version == spec->version && now_ms() - last->at_ms < REAPPEND_MS)
		return;
	data = jobs_record_submit(spec, &size);
	if (!data)
		return;
	last = g_new0(struct appended_spec, 1);
	last->version = spec->version;
	last->at_ms = now_ms();
	g_hash_table_replace(d->appended_services, g_strdup(spec->service), last);
	s = g_new0(struct spec_append, 1);
	s->dispatch = d;
	s->service = g_strdup(spec->service);
	platform_append(d->deps.platform, d->stream, data, size, on_submitted, s);
}

/*
 * A task of a service is restarted only once the end of its previous attempt is known, so
 * restarting it is safe however it ended. Hence idempotent and unlimited attempts.
 */
static void fill_spec(const struct dispatch *d, const struct config_service *s,
		      struct job_spec *spec)
{
	*spec = (struct job_spec){
		.class = WORK_SERVICE,
		.tasks = s->count,
		.size = s->size,
		.attempts = UINT32_MAX,
		.idempotent = true,
		.submitted_wall_ms = wall_ms(),
		.version = s->version,
	};
	jobs_service_id(d->deps.set->dc, s->name, spec->id);
	g_strlcpy(spec->team, s->team, sizeof(spec->team));
	g_strlcpy(spec->service, s->name, sizeof(spec->service));
}

static void reconcile(struct dispatch *d, const struct config *c, const struct config_service *s)
{
	const struct config_team *t = config_team(c, s->team);
	struct job_spec spec;
	struct job_view v;

	if (!t || strcmp(t->home_dc, d->deps.set->dc) != 0)
		return;
	fill_spec(d, s, &spec);
	if (!dispatch_coordinates(d, spec.id))
		return;
	if (jobs_get(d->jobs, spec.id, &v) && v.spec->version >= s->version)
		return;
	append_spec(d, &spec);
}

struct stopped_services {
	struct dispatch *dispatch;
	const struct config *config;
	GArray *specs;
};

/* Collects services that are no longer configured or have moved to another data centre. */
static void collect_stopped(void *ctx, const struct job_view *v)
{
	struct stopped_services *st = ctx;
	const struct config_service *s = config_service(st->config, v->spec->service);
	const struct config_team *t = s ? config_team(st->config, s->team) : NULL;
	struct job_spec spec = *v->spec;

	if (v->spec->class != WORK_SERVICE || v->spec->tasks == 0)
		return;
	if (s && s->class == WORK_SERVICE && t &&
	    strcmp(t->home_dc, st->dispatch->deps.set->dc) == 0)
		return;
	if (config_version(st->config) <= spec.version ||
	    !dispatch_coordinates(st->dispatch, spec.id))
		return;
	spec.tasks = 0;
	spec.version = config_version(st->config);
	g_array_append_val(st->specs, spec);
}

void dispatch_reconcile_services(struct dispatch *d)
{
	const struct config *c = config_sync_current(d->deps.config_sync);
	g_autoptr(GArray) specs = g_array_new(FALSE, FALSE, sizeof(struct job_spec));
	struct stopped_services stopped = { .dispatch = d, .config = c, .specs = specs };
	const struct config_service *s;

	for (size_t i = 0; (s = config_service_at(c, i)); i++)
		if (s->class == WORK_SERVICE)
			reconcile(d, c, s);
	jobs_each(d->jobs, collect_stopped, &stopped);
	for (guint i = 0; i < specs->len; i++)
		append_spec(d, &g_array_index(specs, struct job_spec, i));
}
