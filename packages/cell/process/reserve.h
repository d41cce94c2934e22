#ifndef CELL_RESERVE_H
#define CELL_RESERVE_H

#include "pending_step.h"

/*
 * reserve - room that is set aside, for the rest of a pass, from steps of lower rank.
 */

/* reserve_for_advice - for tasks that only wait for the advisor's answer, tightest fit first. */
void reserve_for_advice(const struct pending_step *ps, uint32_t waiting);
/* reserve_on_freest - on the runners that will be free first; false if enough is kept in the pool.
 */
bool reserve_on_freest(const struct pending_step *ps, uint32_t waiting);
/*
 * reserve_by_preemption - stops less urgent tasks for so many of a step that can be in time, and
 * keeps what they leave for these; false if that can't be done.
 */
bool reserve_by_preemption(struct pass *pass, const struct pending_step *ps, uint32_t count);

#endif
