#ifndef DAEMON_BODY_BUDGET_H
#define DAEMON_BODY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * body_budget - bounds the bytes of request bodies that a process holds at a time. Bodies of up to
 * BODY_SMALL_BYTES have a part of it for themselves, so that large ones can't keep them out. The
 * memory of a peak is given back to the system once most of it is released.
 */
struct body_budget;

#define BODY_SMALL_BYTES 16384

/*
 * body_budget_create - max_bytes 0: not limited. before_trim is called before memory is given back
 * to the system; it may free more, as small blocks in use keep whole pages.
 */
struct body_budget *body_budget_create(uint64_t max_bytes, void (*before_trim)(void *ctx),
				       void *ctx);
void body_budget_destroy(struct body_budget *b);
/*
 * body_budget_grow - raises what a body holds, *held_bytes, to bytes. False, and nothing changes,
 * if the budget doesn't allow it.
 */
bool body_budget_grow(struct body_budget *b, uint64_t *held_bytes, uint64_t bytes);
/* body_budget_release - the body is gone; *held_bytes becomes 0. */
void body_budget_release(struct body_budget *b, uint64_t *held_bytes);
/*
 * body_budget_hold_other - other memory is in use that the system may be due after a peak; it
 * doesn't count against the budget.
 */
void body_budget_hold_other(struct body_budget *b, uint64_t bytes);
void body_budget_release_other(struct body_budget *b, uint64_t bytes);

#endif
