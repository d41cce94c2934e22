#include <signal.h>

#include <gio/gio.h>

#include "soak.h"
#include "troubles.h"

#define MEMORY_MAX_BYTES   (UINT64_C(260) << 20) /* of a VM */
#define READY_WAIT_MS	   30000
#define JOBS_WAIT_MS	   30000
#define CANCEL_WAIT_MS	   5000
#define CALLS_WAIT_MS	   30000
#define CLOSED_MS	   2500 /* until a process has seen its connections close */
#define MEMORY_GROWTH	   (UINT64_C(64) << 20)
#define DESCRIPTOR_GROWTH  48
#define RUNNER_CONNECTIONS 64 /* max-conns of the service: kept open for further calls */
#define STORE_CONNECTIONS  64
#define LAST_CALL_MS	   5000

struct soak {
	struct soak_conf conf;
	struct vm_cell *cell;
	struct callers *callers;
	struct crowd *crowd;
	struct troubles *troubles;
	uint32_t *disturbed;
	uint64_t memory_bytes; /* largest of a VM before the troubles */
	uint32_t descriptors;  /* largest of a VM before the troubles */
	uint64_t after_bytes;  /* largest of a VM at the end */
	uint32_t after_descriptors;
	uint32_t after_connections; /* of a VM to the store and the runners */
	uint32_t accepted;
	int64_t settled_ms; /* from the end of the troubles to the last job's end */
	GString *faults;
};

struct soak *soak_create(const struct soak_conf *conf)
{
	struct soak *k = g_new0(struct soak, 1);

	k->conf = *conf;
	k->faults = g_string_new("");
	k->disturbed = g_new0(uint32_t, conf->vms);
	k->cell = vm_cell_create(&(struct vm_cell_conf){ .vms = conf->vms,
							 .runners = conf->runners,
							 .labelled = 1,
							 .memory_max_bytes = MEMORY_MAX_BYTES,
							 .descriptors_max = conf->descriptors_max,
							 .file_max_bytes = conf->log_max_bytes });
	k->callers = callers_create(k->cell, conf->vms, conf->seed, k->disturbed);
	k->crowd = crowd_create(k->cell, k->disturbed);
	k->troubles = troubles_create(&(struct troubles_conf){ .cell = k->cell,
							       .callers = k->callers,
							       .crowd = k->crowd,
							       .disturbed = k->disturbed,
							       .vms = conf->vms,
							       .runners = conf->runners,
							       .seed = conf->seed,
							       .length_ms = conf->trouble_ms });
	return k;
}

void soak_destroy(struct soak *k)
{
	if (!k)
		return;
	troubles_destroy(k->troubles);
	crowd_destroy(k->crowd);
	callers_destroy(k->callers);
	vm_cell_destroy(k->cell);
	g_string_free(k->faults, TRUE);
	g_free(k->disturbed);
	g_free(k);
}

static void measure(const struct soak *k, uint64_t *bytes, uint32_t *descriptors)
{
	for (uint32_t i = 0; i < k->conf.vms; i++) {
		*bytes = MAX(*bytes, vm_cell_resident_bytes(k->cell, i));
		*descriptors = MAX(*descriptors, vm_cell_descriptors(k->cell, i));
		while (g_main_context_iteration(NULL, FALSE))
			;
	}
}

static void check_ends(struct soak *k)
{
	uint32_t own = vm_cell_all_own_ends(k->cell);
	uint32_t bad = vm_cell_bad_stops(k->cell);

	if (own)
		g_string_append_printf(k->faults,
				       "%u processes ended by themselves (%u over the memory)\n",
				       own, vm_cell_memory_kills(k->cell));
	if (bad)
		g_string_append_printf(k->faults, "%u processes ended badly after SIGTERM\n", bad);
}

static uint32_t left_ms(int64_t end_us)
{
	return (uint32_t)(MAX(end_us - g_get_monotonic_time(), 0) / 1000);
}

static void check_ready(struct soak *k)
{
	if (vm_cell_wait_all_ready(k->cell, READY_WAIT_MS))
		return;
	for (uint32_t i = 0; i < k->conf.vms; i++)
		if (!vm_cell_wait_ready(k->cell, i, 0))
			g_string_append_printf(k->faults, "VM %u is not ready after %u ms\n", i,
					       READY_WAIT_MS);
}

static void check_done(struct soak *k, const struct caller_job *job, int64_t end_us)
{
	uint32_t vm = (uint32_t)(job->id % k->conf.vms);
	const char *state;

	if (vm_cell_wait_state(k->cell, job->id, "done", left_ms(end_us))) {
		state = vm_cell_job_state(k->cell, vm, job->id);
		if (g_str_equal(state, "done"))
			return;
		g_string_append_printf(k->faults,
				       "job %" G_GINT64_MODIFIER "x is done, but VM %u says "
				       "\"%s\"\n",
				       job->id, vm, state);
		return;
	}
	g_string_append_printf(k->faults, "job %" G_GINT64_MODIFIER "x is not done:", job->id);
	for (uint32_t i = 0; i < MIN(k->conf.vms, 3); i++)
		g_string_append_printf(k->faults, " \"%s\"",
				       vm_cell_job_state(k->cell, i, job->id));
	g_string_append_c(k->faults, '\n');
}

static void check_failed(struct soak *k, const struct caller_job *job, int64_t end_us)
{
	g_autofree char *name = g_strdup_printf("%016" G_GINT64_MODIFIER "x.", job->id);
	uint32_t runs;

	if (!vm_cell_wait_state(k->cell, job->id, "failed", left_ms(end_us))) {
		g_string_append_printf(k->faults, "%s fails in each run, and is not failed\n",
				       name);
		return;
	}
	runs = run_record_failed_runs(vm_cell_record(k->cell), name);
	if (runs < VM_CELL_ATTEMPTS)
		g_string_append_printf(k->faults, "%s is failed after %u failed runs\n", name,
				       runs);
}

struct job_wait {
	const struct caller_job *job;
	char *name;
	uint32_t vms;
	uint32_t next;
};

static bool is_gone(struct vm_cell *c, void *ctx)
{
	const struct job_wait *w = ctx;

	return !run_record_running(vm_cell_record(c), w->name);
}

static bool is_running(struct vm_cell *c, void *ctx)
{
	return !is_gone(c, ctx);
}

/* Cancels a job that lasts, when all others have ended beside it. */
static void end_lasting(struct soak *k, const struct caller_job *job, int64_t end_us)
{
	g_autofree char *name = g_strdup_printf("%016" G_GINT64_MODIFIER "x.", job->id);
	g_autofree char *path = vm_cell_job_path(job->id);
	struct job_wait w = { .job = job, .name = name, .vms = k->conf.vms };
	struct vm_reply r;

	if (job->outcome == CALLER_LASTS && !job->cancelling &&
	    !vm_cell_wait_until(k->cell, is_running, &w, left_ms(end_us)))
		g_string_append_printf(k->faults, "%s lasts, and does not run\n", name);
	r = vm_cell_call(k->cell, 0, "DELETE", path, NULL, LAST_CALL_MS);
	if (r.status / 100 != 2)
		g_string_append_printf(k->faults, "%s: %u to its cancel\n", name, r.status);
	else if (!vm_cell_wait_until(k->cell, is_gone, &w, CANCEL_WAIT_MS))
		g_string_append_printf(k->faults, "%s was cancelled, and runs\n", name);
	g_free(r.body);
}

/* A cancel without an answer may or may not have been carried out. */
static bool is_decided(struct vm_cell *c, void *ctx)
{
	struct job_wait *w = ctx;
	uint32_t vm = w->next++ % w->vms;
	const char *state = vm_cell_job_state(c, vm, w->job->id);

	return g_str_equal(state, "done") || g_str_equal(state, "failed") ||
	       g_str_equal(state, "cancelled");
}

static void check_cancelled(struct soak *k, const struct caller_job *job, int64_t end_us)
{
	g_autofree char *name = g_strdup_printf("%016" G_GINT64_MODIFIER "x.", job->id);
	struct job_wait w = { .job = job, .name = name, .vms = k->conf.vms };

	if (job->cancelled && !vm_cell_wait_until(k->cell, is_gone, &w, CANCEL_WAIT_MS))
		g_string_append_printf(k->faults, "%s was cancelled, and runs\n", name);
	if (!vm_cell_wait_until(k->cell, is_decided, &w, left_ms(end_us)))
		g_string_append_printf(k->faults, "%s is neither done nor cancelled\n", name);
}

static void check_refused(struct soak *k, const struct caller_job *job)
{
	const struct run_record *rec = vm_cell_record(k->cell);
	g_autofree char *name = g_strdup_printf("%016" G_GINT64_MODIFIER "x.", job->id);

	if (!job->accepted && !job->unanswered && run_record_starts(rec, name))
		g_string_append_printf(k->faults, "%s was refused each time, and ran\n", name);
}

static void check_nothing(struct soak *k, const struct caller_job *job, int64_t end_us)
{
}

typedef void (*check_fn)(struct soak *k, const struct caller_job *job, int64_t end_us);

static const check_fn check_outcome[] = {
	[CALLER_DONE] = check_done,
	[CALLER_FAILED] = check_failed,
	[CALLER_LASTS] = check_nothing,
	[CALLER_WAITS] = check_nothing,
};

static void check_jobs(struct soak *k)
{
	int64_t end_us = g_get_monotonic_time() + (int64_t)JOBS_WAIT_MS * 1000;

	for (uint32_t i = 0; i < callers_jobs(k->callers); i++) {
		const struct caller_job *job = callers_job(k->callers, i);

		k->accepted += job->accepted && !job->cancelling;
		if (!job->accepted)
			check_refused(k, job);
		else if (job->cancelling && (job->cancelled || job->outcome < CALLER_LASTS))
			check_cancelled(k, job, end_us);
		else
			check_outcome[job->outcome](k, job, end_us);
	}
	for (uint32_t i = 0; i < callers_jobs(k->callers); i++) {
		const struct caller_job *job = callers_job(k->callers, i);

		if (job->accepted && !job->cancelled && job->outcome >= CALLER_LASTS)
			end_lasting(k, job, end_us);
	}
	g_string_append(k->faults, run_record_faults(vm_cell_record(k->cell)));
}

static bool are_gone(struct vm_cell *c, void *ctx)
{
	const GArray *id = ctx;

	for (guint i = 0; i < id->len; i++) {
		g_autofree char *name = g_strdup_printf("%016" G_GINT64_MODIFIER "x.",
							g_array_index(id, uint64_t, i));

		if (run_record_running(vm_cell_record(c), name))
			return false;
	}
	return true;
}

/* Jobs that last, and whose cancelling was acknowledged, perhaps before they were stored. */
static void check_races(struct soak *k)
{
	const GArray *id = callers_race_jobs(k->callers);

	if (!vm_cell_wait_until(k->cell, are_gone, (void *)id, CANCEL_WAIT_MS))
		g_string_append(k->faults, "a job runs whose cancel came with it and was "
					   "acknowledged\n");
}

static void check_answers(struct soak *k)
{
	for (uint32_t i = 0; i < k->conf.vms; i++) {
		struct vm_reply r =
			vm_cell_call(k->cell, i, "GET", VM_CELL_PREFIX, NULL, LAST_CALL_MS);

		if (r.status != 200)
			g_string_append_printf(k->faults, "VM %u answers %u at the end\n", i,
					       r.status);
		g_free(r.body);
	}
	g_string_append(k->faults, callers_faults(k->callers));
	g_string_append(k->faults, crowd_faults(k->crowd));
}

static void check_usage(struct soak *k)
{
	crowd_close_all(k->crowd);
	callers_close(k->callers);
	vm_cell_sleep(k->cell, CLOSED_MS);
	measure(k, &k->after_bytes, &k->after_descriptors);
	for (uint32_t i = 0; i < k->conf.vms; i++)
		k->after_connections =
			MAX(k->after_connections, vm_cell_platform_connections(k->cell, i));
	if (k->after_bytes > k->memory_bytes + MEMORY_GROWTH)
		g_string_append_printf(k->faults, "resident: %" G_GUINT64_FORMAT " MiB\n",
				       k->after_bytes >> 20);
	if (k->after_descriptors > k->descriptors + DESCRIPTOR_GROWTH)
		g_string_append_printf(k->faults, "%u descriptors, %u before\n",
				       k->after_descriptors, k->descriptors);
	if (k->after_connections > k->conf.runners * RUNNER_CONNECTIONS + STORE_CONNECTIONS)
		g_string_append_printf(k->faults, "%u connections to the store and the runners\n",
				       k->after_connections);
}

bool soak_run(struct soak *k)
{
	int64_t over_us;

	vm_cell_start_all(k->cell);
	measure(k, &k->memory_bytes, &k->descriptors);
	troubles_run(k->troubles);
	over_us = g_get_monotonic_time();
	if (k->conf.descriptors_max)
		crowd_close_held(k->crowd);
	check_ready(k);
	if (!callers_finish(k->callers, CALLS_WAIT_MS) || !crowd_finish(k->crowd, CALLS_WAIT_MS))
		g_string_append(k->faults, "requests are still without an answer\n");
	check_races(k);
	check_jobs(k);
	k->settled_ms = (g_get_monotonic_time() - over_us) / 1000;
	check_races(k);
	check_answers(k);
	check_usage(k);
	check_ends(k);
	if (!k->faults->len)
		return true;
	g_printerr("seed %u, %u VMs, %u runners, %u ms, %u descriptors: FAILED, see %s\n%s%s",
		   k->conf.seed, k->conf.vms, k->conf.runners, k->conf.trouble_ms,
		   k->conf.descriptors_max, vm_cell_fail(k->cell), troubles_plan(k->troubles),
		   k->faults->str);
	return false;
}

char *soak_summary(const struct soak *k)
{
	g_autofree char *calls = callers_summary(k->callers);

	return g_strdup_printf(
		"seed %u, %u VMs: %s; %u accepted and not cancelled; %u raw connections, %u "
		"returned; own ends %u, bad stops %u, late stops %u; settled in %" G_GINT64_FORMAT
		" ms; %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT " MiB (peak %" G_GUINT64_FORMAT
		"), %u to %u descriptors and %u connections to the platform",
		k->conf.seed, k->conf.vms, calls, k->accepted, crowd_opened(k->crowd),
		crowd_returned(k->crowd), vm_cell_all_own_ends(k->cell), vm_cell_bad_stops(k->cell),
		troubles_late_stops(k->troubles), k->settled_ms, k->memory_bytes >> 20,
		k->after_bytes >> 20, vm_cell_peak_bytes(k->cell) >> 20, k->descriptors,
		k->after_descriptors, k->after_connections);
}
