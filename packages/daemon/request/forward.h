#ifndef DAEMON_FORWARD_H
#define DAEMON_FORWARD_H

#include "call.h"
#include "process/loadtable.h"

/*
 * forward - hands a request to an owner with a free runner of its service, and to another owner if
 * it surely did not run at the first, or may be repeated and no part of its answer has come.
 */
struct forward;

struct forward_deps {
	const struct settings *set;
	struct calls *calls;
	struct loadtable *loads;
};

/*
 * forward_start - req is copied; deadline_ms (monotonic) bounds all tries together. ops->end is
 * called exactly once, unless the forward is cancelled before; never before forward_start() has
 * returned.
 */
struct forward *forward_start(const struct forward_deps *deps, const Kw__Call *req,
			      uint64_t answer_bytes, int64_t deadline_ms,
			      const struct call_requester_ops *ops, void *ctx);
void forward_credit(struct forward *f, uint32_t bytes);
/* forward_cancel - gives up; no callback follows, and f may not be used any more. */
void forward_cancel(struct forward *f);
/* forward_handed_over - true if an owner has the request and has not answered. */
bool forward_handed_over(const struct forward *f);

#endif
