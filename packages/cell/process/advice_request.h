#ifndef CELL_ADVICE_REQUEST_H
#define CELL_ADVICE_REQUEST_H

#include "pending_step.h"

/*
 * advice_request - requests to the advisor for approval of runners and for their tickets.
 *
 * All nodes send requests on behalf of the scheduler. The advisor serves those of one node in turn.
 */

/*
 * advice_request_is_blocked - true if the step has no verdicts yet and the advisor is too busy to
 * be asked: nothing can be done for it now.
 */
bool advice_request_is_blocked(const struct scheduler *s, const struct pending_step *ps);
/* advice_request_send - requests tickets; possible: with them a waiting task could start. */
void advice_request_send(struct pass *pass, const struct pending_step *ps, bool possible);
/*
 * advice_request_renew - renews the tickets of a step that has reserved room, which would stay
 * empty for the 400 ms of a request.
 */
void advice_request_renew(struct pass *pass, const struct pending_step *ps);
/* advice_request_begin, advice_request_end - account for a request; end is a no-op without one. */
void advice_request_begin(struct scheduler *s, struct advice *a, uint64_t cost_us);
void advice_request_end(struct scheduler *s, struct advice *a);

#endif
