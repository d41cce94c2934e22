#ifndef CELL_NO_ROOM_H
#define CELL_NO_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "request/resources.h"

/*
 * no_room - demands for which no runner of a pool has room, during one placement pass.
 *
 * Room only shrinks during a pass. So a step that demands at least as much as one that found no
 * room will find none either, and its runners need not be examined. Only the smallest demands are
 * kept: of steps that differ in all ways few are, and of steps of one kind one is.
 */
#define NO_ROOM_MAX 64 /* demands kept for a pool; steps that demand others are examined */

/* What a step demands of a runner. The label belongs to the caller. */
struct demand {
	struct resources need; /* of one task */
	const char *label;     /* that the runner must have; "" for none */
	uint32_t headroom_milli;
	int64_t backfill_ms; /* room that is reserved for longer may be used until then */
	bool filler;
};

struct no_room;

struct no_room *no_room_create(void);
void no_room_destroy(struct no_room *n);
/* no_room_add - no runner of the pool has room for the demand. */
void no_room_add(struct no_room *n, const struct demand *d);
/* no_room_covers - true if no runner can have room, as the demand is no smaller than a known one.
 */
bool no_room_covers(const struct no_room *n, const struct demand *d);

#endif
