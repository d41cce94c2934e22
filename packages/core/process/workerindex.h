#ifndef CORE_WORKERINDEX_H
#define CORE_WORKERINDEX_H

#include "item.h"

/*
 * workerindex - the workers of an owner, indexed by their free capacity.
 *
 * Workers are sorted into buckets by free accelerators, processors and memory (log-linear levels,
 * four per power of two). A search walks bitmaps of non-empty buckets in its search order and
 * examines at most SEARCH_EXAMINE_MAX workers of an accelerator pool, however many there are. The
 * bucket at the lower edge of the wanted size may hold workers that are slightly too small. If a
 * search finds none in the part of a bucket that it examines, it rotates the bucket, so that later
 * searches examine the others.
 */
#define CAPACITY_LEVELS	      64
#define ACCEL_POOLS	      10 /* workers without accelerators; with 0, 1, .. 8 or more free */
#define SEARCH_EXAMINE_MAX    64
#define SEARCH_CANDIDATES_MAX 16
#define WORKER_NONE	      UINT32_MAX /* no handle */
#define BUCKET_NONE	      UINT32_MAX

/*
 * Sets of workers. A usable worker is in WORKERS_OPEN or in WORKERS_HELD, and also in
 * WORKERS_RESERVED if part of it is reserved for urgent work.
 */
enum worker_set {
	WORKERS_OPEN = 0, /* indexed by the capacity that any work may use */
	WORKERS_HELD,	  /* held for the oldest gang, see ganghold.h */
	WORKERS_RESERVED, /* indexed by all free capacity, with the part reserved for urgent work */
	WORKER_SETS,
};

/* Kind of work that needs the capacity. Parts of it are reserved for slots and for urgent work. */
enum capacity_use {
	CAPACITY_FOR_ANY = 0,
	CAPACITY_FOR_URGENT,
	CAPACITY_FOR_SLOT,
};

enum search_order {
	SEARCH_BEST_FIT = 0,
	SEARCH_WORST_FIT,
	SEARCH_FIRST_FIT, /* by handle; examines every worker */
};

struct worker_link {
	uint32_t prev;
	uint32_t next;
	uint32_t bucket; /* BUCKET_NONE if not in the set */
};

struct indexed_worker {
	char *name;
	uint32_t rack;
	struct res total;
	struct res task_used;	  /* by work that takes no slot */
	struct res slot_used;	  /* by work that takes a slot */
	struct res slot_reserved; /* for the slots of the runner */
	struct res reserved;	  /* for urgent work */
	struct res urgent_used;	  /* part of task_used */
	uint32_t reserved_milli;  /* reserved, in thousandths of total */
	uint32_t slots;
	uint32_t slots_used;
	uint32_t counted_slots; /* its part of the sums of its runner group */
	uint32_t counted_free_slots;
	uint32_t service;
	enum worker_state state;
	bool slot_size_known; /* worker_info gave the size of a slot */
	bool quarantined;
	bool freed;		  /* listed in owner->freed */
	bool held;		  /* for the oldest gang */
	struct res free[2];	  /* indexed by urgent, see worker_index_free_res() */
	struct res counted_free;  /* its part of worker_index_total_free() */
	struct res counted_total; /* its part of worker_index_total() */
	struct worker_link link[WORKER_SETS];
	struct worker_link group_link; /* in its runner group, by free slots */
	struct item_list running;
};

/* worker_index_cpu_level - bucket level of cpu_milli, below CAPACITY_LEVELS. */
uint32_t worker_index_cpu_level(const struct res *r);

struct worker_index;

struct worker_search {
	struct res want;
	enum worker_set set;
	enum search_order order;
	uint32_t max;	/* candidates wanted, at most SEARCH_CANDIDATES_MAX */
	uint32_t avoid; /* handle of a worker to skip, or WORKER_NONE */
	uint32_t n;	/* candidates found */
	uint32_t worker[SEARCH_CANDIDATES_MAX];
};

struct worker_index *worker_index_create(void);
void worker_index_destroy(struct worker_index *wi);
uint32_t worker_index_add(struct worker_index *wi, const struct worker_info *info);
/* worker_index_remove - removes a worker that runs nothing. Its handle may be reused. */
void worker_index_remove(struct worker_index *wi, uint32_t worker);
/* worker_index_count - number of handles, including those of removed workers. */
uint32_t worker_index_count(const struct worker_index *wi);
/* worker_index_get - worker with that handle, or NULL. */
struct indexed_worker *worker_index_get(const struct worker_index *wi, uint32_t worker);
uint32_t worker_index_handle(const struct worker_index *wi, const struct indexed_worker *w);
/* worker_index_racks - number of racks. */
uint32_t worker_index_racks(const struct worker_index *wi);

/* worker_index_usable - true if new work may be placed on the worker. */
bool worker_index_usable(const struct indexed_worker *w);
/* worker_index_update - reindexes a worker; call it after any change of its fields. */
void worker_index_update(struct worker_index *wi, uint32_t worker);
/* worker_index_free_res - capacity free for urgent tasks or for others; never below 0. */
struct res worker_index_free_res(const struct indexed_worker *w, bool urgent);
/* worker_index_slot_fits - true if a slot is free and work of this size fits in it. */
bool worker_index_slot_fits(const struct indexed_worker *w, const struct res *size);
/*
 * worker_index_set_slot_size - reserves capacity of this size for each slot. No effect if
 * worker_info gave the size of a slot.
 */
void worker_index_set_slot_size(struct worker_index *wi, uint32_t worker, const struct res *size);
/* worker_index_reserve - reserves thousandths of the worker for urgent work. */
void worker_index_reserve(struct worker_index *wi, uint32_t worker, uint32_t reserved_milli);
/* worker_index_allocate, worker_index_release - work starts or ends to use the worker. */
void worker_index_allocate(struct worker_index *wi, uint32_t worker, struct item *it);
/* worker_index_resize - changes the size that running work is accounted with. */
void worker_index_resize(struct worker_index *wi, struct item *it, const struct res *size);
void worker_index_release(struct worker_index *wi, uint32_t worker, struct item *it);

/* worker_index_find - fills q->worker in search order; false if none was found. */
bool worker_index_find(struct worker_index *wi, struct worker_search *q);
/* worker_index_never_fits - true if size would not fit on any worker, even an empty one. */
bool worker_index_never_fits(const struct worker_index *wi, const struct res *size,
			     enum capacity_use use);
/* worker_index_max_count - how many times size would fit on the workers if all were empty. */
uint64_t worker_index_max_count(const struct worker_index *wi, const struct res *size);
/* worker_index_fit_count - how many times size fits into free. */
uint32_t worker_index_fit_count(const struct res *free, const struct res *size);
/* worker_index_total, worker_index_total_free - sums over the usable workers. */
const struct res *worker_index_total(const struct worker_index *wi);
const struct res *worker_index_total_free(const struct worker_index *wi);
/* worker_index_examined - number of workers that searches have examined so far. */
uint64_t worker_index_examined(const struct worker_index *wi);

#endif
