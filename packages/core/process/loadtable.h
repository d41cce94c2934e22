#ifndef CORE_LOADTABLE_H
#define CORE_LOADTABLE_H

#include <stddef.h>

#include "types.h"

/*
 * loadtable - the load that each owner last reported, used to pick an owner for a request or task.
 *
 * What is sent to an owner is deducted from its free capacity until its next heartbeat, so that a
 * burst between two heartbeats is spread. The load is a hint only: the owner decides.
 */
struct loadtable;

/* Load of one service at one owner. */
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
	uint32_t bytes_per_ms; /* bytes sent across regions that cost as much as 1 ms of waiting */
};

struct loadtable *loadtable_create(const struct loadtable_conf *conf);
void loadtable_destroy(struct loadtable *t);

/* loadtable_set - replaces the load of owner by the n entries of load. */
void loadtable_set(struct loadtable *t, const char *owner, const char *dc, const char *region,
		   const struct service_load *load, size_t n);
/*
 * loadtable_set_unchanged - a heartbeat confirmed the load reported before. Requests sent to the
 * owner since the last heartbeat are no longer deducted.
 */
void loadtable_set_unchanged(struct loadtable *t, const char *owner);
/*
 * service_loads_differ - true if a and b differ enough to be sent to the peers: other services, an
 * amount that became or ceased to be zero, a count that changed by more than 1/32, or another
 * amount that changed by more than 1/8.
 */
bool service_loads_differ(const struct service_load *a, size_t n_a, const struct service_load *b,
			  size_t n_b);
/* loadtable_forget - removes an owner that is gone or draining. */
void loadtable_forget(struct loadtable *t, const char *owner);

/*
 * loadtable_pick - owner to send a request of service to, or NULL if no owner has a runner of it.
 * Prefers the local data centre unless the waiting time saved elsewhere outweighs the network delay
 * and, across regions, the cost of sending answer_bytes. Owners in skip[0..n) are left out. The
 * name is valid until the next change.
 */
const char *loadtable_pick(struct loadtable *t, const char *service, uint64_t answer_bytes,
			   const char *const *skip, size_t n);
/*
 * loadtable_pick_task - owner in data centre dc with the most free CPU among those where size fits,
 * or NULL. The name is valid until the next change.
 */
const char *loadtable_pick_task(struct loadtable *t, const char *dc, const struct res *size);

/* Load of a service as last reported by one owner. Strings are valid until the next change. */
struct loadtable_row {
	const char *owner;
	const char *dc;
	struct service_load load;
};

/*
 * loadtable_list - fills row with at most n rows of a service, in order of the owners' names;
 * returns how many there are.
 */
size_t loadtable_list(const struct loadtable *t, const char *service, struct loadtable_row *row,
		      size_t n);

#endif
