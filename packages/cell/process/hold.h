#ifndef CELL_HOLD_H
#define CELL_HOLD_H

#include "pending_step.h"

#define HOLD_MAX_MS	12000 /* for which steps that wait may keep most of an idle pool */
#define HOLD_YIELD_MS	2000  /* for which others may start then: longer than most advice takes */
#define HOLD_IDLE_MILLI 500   /* a pool is idle while less of a resource is in use, in 1/1000 */

/*
 * hold - bounds the time for which steps of high rank keep an idle pool from others.
 *
 * A gang that waits for a few runs to end reserves room on all runners that it needs. These runs
 * may take far longer than estimated, or never end. So after HOLD_MAX_MS the reserving steps yield
 * for HOLD_YIELD_MS: they keep no more than RESERVE_POOL_MILLI of the pool's runners. While most of
 * the pool is in use, or others are left enough of it, nothing is bounded.
 */

/* hold_table_create - returns an empty table by service; g_hash_table_unref() frees it. */
GHashTable *hold_table_create(void);
/* hold_begin_pass - returns whether the reserving steps of the pool yield in this pass. */
bool hold_begin_pass(struct scheduler *s, const struct pass_pool *pool);
/* hold_note - in this pass, steps reserve room on more runners than they may while they yield. */
void hold_note(struct scheduler *s, const struct pass_pool *pool);

#endif
