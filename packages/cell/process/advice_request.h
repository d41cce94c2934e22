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
/*
 * advice_request_is_unanswered - true if the advisor answers no requests for the step, so that no
 * room should be kept for it.
 */
bool advice_request_is_unanswered(const struct pass *pass, const struct pending_step *ps);
/* advice_request_defer - notes that the step waits for a chance to ask. */
void advice_request_defer(struct scheduler *s, const struct pending_step *ps);
/* advice_request_is_overdue - true if the step has waited too long for one. */
bool advice_request_is_overdue(const struct scheduler *s, const struct job_step *step);
/* advice_request_is_long - true if requests for steps of the queue delay others much. */
bool advice_request_is_long(const struct queue *q);
/*
 * advice_request_send_overdue - as advice_request_send, in the part of the advisor's time that is
 * reserved for overdue steps. A step without room waits for its turn again.
 */
void advice_request_send_overdue(struct pass *pass, const struct pending_step *ps, bool possible);
/* advice_request_send - requests tickets; possible: with them a waiting task could start. */
void advice_request_send(struct pass *pass, const struct pending_step *ps, bool possible);
/*
 * advice_request_renew - renews the tickets of a step that has reserved room, which would stay
 * empty for the 400 ms of a request.
 */
void advice_request_renew(struct pass *pass, const struct pending_step *ps);
/* advice_request_end - accounts for the end of a request; a no-op without one. */
void advice_request_end(struct scheduler *s, struct advice *a);

#endif
