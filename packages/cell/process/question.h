#ifndef CELL_QUESTION_H
#define CELL_QUESTION_H

#include "target.h"

/*
 * question - what is asked of the advisor: which runners may run a step, and for tickets. All nodes
 * ask on the scheduler's behalf; the advisor answers each of them one question after the other.
 */

/* question_ask - for tickets; possible: some of what waits could start if they were there. */
void question_ask(struct pass *pass, const struct target *t, bool possible);
/*
 * question_renew - keeps tickets for a step that room is kept for: a question takes 400 ms, in
 * which that room would stay empty.
 */
void question_renew(struct pass *pass, const struct target *t);
/* question_begins, question_ends - of a step; the latter does nothing if none is under way. */
void question_begins(struct scheduler *s, struct advice *a, uint64_t cost_us);
void question_ends(struct scheduler *s, struct advice *a);

#endif
