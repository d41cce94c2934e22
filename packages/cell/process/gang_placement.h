#ifndef CELL_GANG_PLACEMENT_H
#define CELL_GANG_PLACEMENT_H

#include "pending_step.h"

/*
 * gang_placement - places the members of a gang, which start together or not at all.
 *
 * A gang needs room for all members at the same moment. While it waits it keeps room from steps of
 * lower rank, except for gangs beyond those that need half of the pool: they would only renew
 * tickets that expire unused.
 */

/* gang_placement_run - places the gang, or requests advice and keeps room for it. */
void gang_placement_run(struct pass *pass, const struct pending_step *ps);
/* gang_placement_has_room - whether runners that are not denied have room for all members now. */
bool gang_placement_has_room(const struct pass *pass, const struct pending_step *ps);
/* gang_placement_fits_pool - whether they could hold the gang if they were empty. */
bool gang_placement_fits_pool(const struct pending_step *ps);

#endif
