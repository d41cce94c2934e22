#ifndef BENCH_TRACE_H
#define BENCH_TRACE_H

#include <glib.h>

#include "process/owner.h"

/*
 * trace - events of a recorded day, one JSON object a line.
 *
 * Each line has "t" (milliseconds) and "ev":
 *   workers  adds n equal workers, per_rack to a rack
 *   team     sets weight and quota
 *   work     n pieces of work, the first at t, the others over the next over_ms; teams in turn
 *   worker   sets the condition of worker: bad, good, leaving, lost
 *   cancel   cancels all that waits of a job
 *   expect   a stated outcome: what, over the work that the line selects, is to be at most le or
 *            at least ge; judged at the end
 */
enum trace_kind {
	TRACE_WORKERS = 0,
	TRACE_TEAM,
	TRACE_WORK,
	TRACE_WORKER,
	TRACE_CANCEL,
	TRACE_EXPECT
};

#define TRACE_ANY (-1)

struct trace_event {
	int64_t t_ms;
	guint line;
	enum trace_kind kind;
	char *name;   /* of workers, condition of a worker, or what is expected */
	char *reason; /* why that is expected */
	uint32_t count;
	uint32_t over_ms;
	uint32_t per_rack;
	uint32_t teams;
	uint32_t actual_run_ms; /* run time, spread by up to spread_percent */
	uint32_t spread_percent;
	uint32_t max_retries;	   /* times to come back after being refused or failing */
	uint64_t actual_mem_bytes; /* memory that the work really takes, 0 for as declared */
	bool fails;
	struct work work; /* deadline_ms is relative to the submit */
	struct worker_info worker;
	int64_t select_class; /* TRACE_ANY for all; of expect */
	int64_t select_team;
	int64_t select_job;
	int64_t select_worker;
	double max; /* NAN if not stated */
	double min;
};

/* trace_load - array of struct trace_event, freed by g_array_unref(); NULL with an error. */
GArray *trace_load(const char *path, GError **err);

#endif
