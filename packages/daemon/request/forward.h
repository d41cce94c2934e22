#ifndef DAEMON_FORWARD_H
#define DAEMON_FORWARD_H

#include "call.h"
#include "process/loadtable.h"

/*
 * forward - sends a request to an owner with a free runner of its service. Tries another owner if
 * the request certainly did not run, or if it is idempotent and no part of its answer was received.
 */
struct forward;

struct forward_deps {
	const struct settings *set;
	struct calls *calls;
	struct loadtable *loads;
};

/*
 * forward_start - starts to forward a copy of req. deadline_ms (monotonic) covers all attempts.
 * ops->end is called exactly once unless forward_cancel() is called first; no function of ops is
 * called before forward_start() returns.
 */
struct forward *forward_start(const struct forward_deps *deps, const Kw__Call *req,
			      uint64_t answer_bytes, int64_t deadline_ms,
			      const struct call_requester_ops *ops, void *ctx);
void forward_credit(struct forward *f, uint32_t bytes);
/* forward_cancel - cancels and frees f; no callback follows. */
void forward_cancel(struct forward *f);
/* forward_handed_over - true if the request was sent to an owner and has not ended there. */
bool forward_handed_over(const struct forward *f);

#endif
