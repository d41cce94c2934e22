#ifndef CORE_LOADTABLE_H
#define CORE_LOADTABLE_H

#include <stddef.h>

#include "types.h"

/*
 * rooms - what each owner last said of its free room, and the choice of an owner by it.
 *
 * What is sent to an owner is taken off its room until its next heartbeat, so that a burst between
 * two heartbeats spreads. A room is a hint: the owner decides.
 */
struct loadtable;

struct service_load {
	const char *service; /* "" for tasks */
	uint32_t free_slots;
	uint32_t queued;
	uint32_t wait_ms;
	struct res free;
};

struct loadtable_conf {
	const char *dc;		  /* copied */
	const char *region;	  /* copied */
	uint32_t dc_delay_ms;	  /* one-way delay to another data centre of the region */
	uint32_t region_delay_ms; /* one-way delay to another region */
	uint32_t bytes_per_ms; /* bytes across regions that one millisecond of waiting is worth */
};

struct loadtable *loadtable_create(const struct loadtable_conf *conf);
void loadtable_destroy(struct loadtable *t);

/* loadtable_set - replaces all that owner said before. */
void loadtable_set(struct loadtable *t, const char *owner, const char *dc, const char *region,
		   const struct service_load *load, size_t n);
/* loadtable_set_unchanged - the owner's room is as it said before; what was sent since is accounted
 * for. */
void loadtable_set_unchanged(struct loadtable *t, const char *owner);
/*
 * service_loads_differ - true if the rooms a and b are worth telling apart: other services, an
 * amount that came from or went to nothing, a count that changed by more than one in 32 or another
 * amount by more than an eighth.
 */
bool service_loads_differ(const struct service_load *a, size_t n_a, const struct service_load *b,
			  size_t n_b);
/* loadtable_forget - the owner is gone or drains. */
void loadtable_forget(struct loadtable *t, const char *owner);

/*
 * loadtable_pick - owner to send a request of service to, or NULL if no owner has a runner of it.
 * The local data centre is taken unless the waiting time saved elsewhere is worth the way there
 * and, across regions, the bytes of the answer. Owners in skip[0..n) are left out. Valid until the
 * next change.
 */
const char *loadtable_pick(struct loadtable *t, const char *service, uint64_t answer_bytes,
			   const char *const *skip, size_t n);
/* loadtable_pick_task - owner of data centre dc with most free room for size, or NULL. */
const char *loadtable_pick_task(struct loadtable *t, const char *dc, const struct res *size);

/* What one owner last said of a service. Strings are valid until the next change. */
struct loadtable_row {
	const char *owner;
	const char *dc;
	struct service_load load;
};

/* loadtable_list - rows of a service in order of owner, at most n; returns how many there are. */
size_t loadtable_list(const struct loadtable *t, const char *service, struct loadtable_row *row,
		      size_t n);

#endif
