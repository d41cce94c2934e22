#ifndef CELL_OVERDUE_STEPS_H
#define CELL_OVERDUE_STEPS_H

#include "pending_step.h"

/* overdue_steps - the steps that have waited too long for advice, in pools with much room. */
struct overdue_step {
	struct cell_job *job;
	struct job_step *step;
};

/*
 * overdue_steps_find - the steps (struct overdue_step) to serve in this pass, those that have
 * waited longest first; the caller owns the array. any_long: whether requests for any of them are
 * long.
 */
GArray *overdue_steps_find(const struct pass *pass, bool *any_long);

#endif
