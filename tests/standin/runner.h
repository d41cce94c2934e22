#ifndef RUNNER_H
#define RUNNER_H

#include "worker.h"

/*
 * runner_call - serves POST /run.
 *
 * A body that is a JSON object directs the runner: answer_bytes, delay_ms, cut_after (closes the
 * connection after so many bytes), fail (status 500), echo (text of the answer), duplicate (sends
 * the answer twice), never (no answer until the caller closes), tag (text for the record file, the
 * same for all retries of one piece of work). Any other body is echoed. The answer is the request
 * id, a newline and the text, filled up to answer_bytes with the letters a to z by offset.
 */
void runner_call(struct worker *w, SoupServerMessage *msg);
/* runner_tick - detects callers that closed their connection; to be called periodically. */
void runner_tick(struct worker *w);

#endif
