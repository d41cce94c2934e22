#ifndef CELL_FAIR_ORDER_H
#define CELL_FAIR_ORDER_H

#include "pending_step.h"

/*
 * fair_order_jobs - orders the open jobs, which are sorted by rank, within each tier and priority
 * by the shares of their teams. Does nothing if no tasks waited in the last pass, or the
 * configuration names no teams. The ranks and pools of the pass have to be set.
 */
void fair_order_jobs(const struct pass *pass);

#endif
