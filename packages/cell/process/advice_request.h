#ifndef CELL_ADVICE_REQUEST_H
#define CELL_ADVICE_REQUEST_H

#include "pending_step.h"

/*
 * advice_request - what is asked of the advisor: which runners may run a step, and for tickets. All
 * nodes ask on the scheduler's behalf; the advisor answers each of them one question after the
 * other.
 */

/* advice_request_send - for tickets; possible: some of what waits could start if they were there.
 */
void advice_request_send(struct pass *pass, const struct pending_step *ps, bool possible);
/*
 * advice_request_renew - keeps tickets for a step that room is kept for: a question takes 400 ms,
 * in which that room would stay empty.
 */
void advice_request_renew(struct pass *pass, const struct pending_step *ps);
/* advice_request_begin, advice_request_end - of a step; the latter does nothing if none is under
 * way. */
void advice_request_begin(struct scheduler *s, struct advice *a, uint64_t cost_us);
void advice_request_end(struct scheduler *s, struct advice *a);

#endif
