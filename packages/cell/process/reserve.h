#ifndef CELL_RESERVE_H
#define CELL_RESERVE_H

#include "target.h"

/*
 * reserve - room that is set aside, for the rest of a pass, from steps of lower rank.
 */

/* reserve_hoped - for tasks that only wait for the advisor's answer, tightest fit first. */
void reserve_hoped(const struct target *t, uint32_t waiting);
/* reserve_keep - on the runners that will be free first; false if enough is kept in the pool. */
bool reserve_keep(const struct target *t, uint32_t waiting);
/*
 * reserve_make - stops less urgent tasks for so many of a step that can be in time, and keeps what
 * they leave for these; false if that can't be done.
 */
bool reserve_make(struct pass *pass, const struct target *t, uint32_t count);

#endif
