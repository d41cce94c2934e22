#ifndef NODE_INTAKE_H
#define NODE_INTAKE_H

#include "connection/links.h"
#include "process/joblog.h"

/*
 * intake - what callers hand in and ask for, on any node: jobs, cancellations, states.
 *
 * A record goes to the scheduler, which appends those of all nodes together; without its word in
 * time this node appends by itself. INTAKE_REFUSED is a promise that the job never runs: it is said
 * only if no append, there or here, can have taken effect.
 */
struct intake;

enum intake_result {
	INTAKE_OK = 0,
	INTAKE_REFUSED, /* surely not taken; try again later */
	INTAKE_UNKNOWN, /* may have been taken */
	INTAKE_NOT_FOUND,
};

typedef void (*intake_fn)(void *ctx, enum intake_result result);
typedef void (*intake_state_fn)(void *ctx, enum intake_result result, enum job_state state);

struct intake *intake_create(struct joblog *log, struct links *links);
void intake_destroy(struct intake *i);
/* intake_set_scheduling - whether this node is the scheduler. */
void intake_set_scheduling(struct intake *i, bool scheduling);

/* intake_submit - owns job. fn is called by deadline_ms or a little later. */
void intake_submit(struct intake *i, Cell__Job *job, int64_t deadline_ms, intake_fn fn, void *ctx);
void intake_cancel(struct intake *i, const char *id, int64_t deadline_ms, intake_fn fn, void *ctx);
void intake_state(struct intake *i, const char *id, intake_state_fn fn, void *ctx);
/* intake_find_state - the state that may be told; false if only the scheduler or the store can
 * tell. */
bool intake_find_state(const struct intake *i, const char *id, enum job_state *state);

#endif
