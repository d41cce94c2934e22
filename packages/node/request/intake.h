#ifndef NODE_INTAKE_H
#define NODE_INTAKE_H

#include "connection/links.h"
#include "process/joblog.h"
#include "request/admit.h"

/*
 * intake - serves callers on any node: submits and cancels jobs, and reports their states.
 *
 * Records are forwarded to the scheduler, which batches those of all nodes into one append. If it
 * does not answer in time, this node appends them itself. INTAKE_REFUSED and INTAKE_REJECTED
 * promise that the job never runs: they are returned only if no append, there or here, can have
 * taken effect. A rejected job is not appended here either.
 */
struct intake;

enum intake_result {
	INTAKE_OK = 0,
	INTAKE_REFUSED, /* certainly not stored; the caller may try again */
	INTAKE_UNKNOWN, /* may have been stored */
	INTAKE_NOT_FOUND,
	INTAKE_REJECTED,  /* as INTAKE_REFUSED: the team is above its rate, or memory is short */
	INTAKE_FORBIDDEN, /* the job belongs to another team */
};

/* intake_fn - retry_after_ms is 0 unless the result is INTAKE_REJECTED. */
typedef void (*intake_fn)(void *ctx, enum intake_result result, uint32_t retry_after_ms);
typedef void (*intake_state_fn)(void *ctx, enum intake_result result, enum job_state state);

/* intake_create - admit: checks jobs of this node's callers; NULL for no check. */
struct intake *intake_create(struct joblog *log, struct links *links, struct admit *admit);
void intake_destroy(struct intake *i);
/* intake_set_scheduling - sets whether this node is the scheduler. */
void intake_set_scheduling(struct intake *i, bool scheduling);

/*
 * intake_set_doubt - replaced: whether another node may be the scheduler already, although this one
 * is. Then it reports no states that may have changed.
 */
void intake_set_doubt(struct intake *i, bool (*replaced)(void *ctx), void *ctx);

/* intake_submit - takes ownership of job; fn is called by deadline_ms or slightly later. */
void intake_submit(struct intake *i, Cell__Job *job, int64_t deadline_ms, intake_fn fn, void *ctx);
/*
 * intake_cancel, intake_state - team: of the caller, "" for none; NULL if jobs of all teams may be
 * accessed. The record of a job that isn't known here is read first, to learn whose it is.
 *
 * INTAKE_NOT_FOUND promises that the job doesn't run, even if its record is stored within
 * JOBLOG_EARLY_CANCEL_MS: it is accepted then, and shown as cancelled. INTAKE_REJECTED: there are
 * EARLY_CANCELS_MAX such promises. Another team may not cancel the same id within that time.
 */
void intake_cancel(struct intake *i, const char *id, const char *team, int64_t deadline_ms,
		   intake_fn fn, void *ctx);
void intake_state(struct intake *i, const char *id, const char *team, intake_state_fn fn,
		  void *ctx);
/*
 * intake_end - answers all requests that wait, with what is known of them by now, and takes no
 * further part in them. No request may follow.
 */
void intake_end(struct intake *i);
/*
 * intake_find_state - the state that may be reported to callers; returns false if only the
 * scheduler or the store knows it.
 */
bool intake_find_state(const struct intake *i, const char *id, enum job_state *state);

#endif
