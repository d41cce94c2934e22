#ifndef BENCH_TRACE_H
#define BENCH_TRACE_H

#include <glib.h>

#include "process/owner.h"

/*
 * trace - events of a recorded day, one JSON object per line
 *
 * Each object has "t" (milliseconds) and "ev":
 *   workers  adds n equal workers, per_rack in each rack
 *   team     sets the weight and the quota of a team
 *   work     submits n pieces of work, spread evenly from t over over_ms and over `teams` teams
 *   worker   sets the condition of a worker: bad, good, leaving or lost
 *   cancel   cancels the waiting work of a job
 *   expect   an expected outcome, checked at the end: the measure "what" of the selected work is at
 *            most "le" or at least "ge"
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
	char *name;   /* of the workers; condition of a worker; or the measure of an outcome */
	char *reason; /* of the expected outcome */
	uint32_t count;
	uint32_t over_ms;
	uint32_t per_rack;
	uint32_t teams;
	uint32_t actual_run_ms; /* varies by up to spread_percent */
	uint32_t spread_percent;
	uint32_t max_retries;	   /* after refusals */
	uint64_t actual_mem_bytes; /* 0: as declared */
	bool fails;
	struct work work; /* with deadline_ms relative to the submit */
	struct worker_info worker;
	int64_t select_class; /* selection of an expected outcome; TRACE_ANY for all */
	int64_t select_team;
	int64_t select_job;
	int64_t select_worker;
	double max; /* NAN if absent, as min */
	double min;
};

/*
 * trace_load - reads a trace into an array of struct trace_event, sorted by time
 *
 * The caller frees it with g_array_unref(). NULL on error, with err set.
 */
GArray *trace_load(const char *path, GError **err);

#endif
