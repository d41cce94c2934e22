#ifndef CELL_ISOLATE_H
#define CELL_ISOLATE_H

#include "pending_step.h"

/*
 * isolate - runs tasks that may crash their runner on runners without other runs.
 *
 * A crash then costs no other run, and leaves no doubt about its cause. Before other steps are
 * placed, a pass keeps a few runners empty for such tasks; others come to an end there. Members of
 * a gang are not isolated, as they need several runners at once.
 */

/* isolate_is_due - true if the task has to run alone; it waits for such a runner for a while. */
bool isolate_is_due(const struct scheduler *s, const struct job_step *step,
		    const struct job_task *t);
/* isolate_wanted - true if a waiting task of the step has to run alone. */
bool isolate_wanted(const struct pass *pass, const struct cell_job *j, const struct job_step *step);
/* isolate_place - places the waiting tasks of the step that have to run alone. */
void isolate_place(struct pass *pass, const struct pending_step *ps);

#endif
