#ifndef BENCH_TRACE_SIM_H
#define BENCH_TRACE_SIM_H

#include "process/heap.h"
#include "standin/cell.h"
#include "trace.h"

/*
 * trace_sim - replays a trace against an owner on a simulated clock
 *
 * The workers are simulated too: work ends after its actual run time or fails as the trace says.
 * Refused work is submitted again after the delay that the owner asked for.
 */
struct trace_sim {
	struct cell cell;
	const GArray *trace_events;
	GRand *rand;
	struct heap pending; /* struct sim_event, by time */
	GPtrArray *works;    /* struct sim_work, in the order of the trace */
	uint64_t seq;
	GArray *conditions;	/* enum worker_condition, by worker */
	GArray *used_mem_bytes; /* uint64_t, memory actually in use, by worker */
	uint32_t mem_overruns;	/* starts that exceeded the memory of the worker */
};

/* One piece of work, over all its attempts. */
struct sim_work {
	const struct trace_event *event;
	int64_t submitted_ms;	 /* of the first attempt, -1 before */
	uint64_t index_in_event; /* among the work of the event */
	int64_t started_ms;	 /* of the first start, -1 if none */
	int64_t deadline_ms;
	uint32_t remaining_run_ms;
	uint32_t retries; /* after refusals, failures and losses */
	uint32_t refusals;
	int64_t last_refused_ms;
	uint32_t worker; /* of the last start */
	enum refuse_reason refuse_reason;
	bool done;
	bool late;
	bool cancelled;
};

/* trace_sim_run - initializes sim and replays all events; policy NULL selects the default */
void trace_sim_run(struct trace_sim *sim, const GArray *events, const char *policy);
void trace_sim_clear(struct trace_sim *sim);
/* trace_sim_measure - the value of the outcome that the event expects */
double trace_sim_measure(const struct trace_sim *sim, const struct trace_event *expect);
/*
 * trace_sim_waits - waiting times in ms (int64_t, sorted) of the selected work that has started,
 * freed by g_array_unref()
 */
GArray *trace_sim_waits(const struct trace_sim *sim, const struct trace_event *select);

#endif
