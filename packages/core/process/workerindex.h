#ifndef CORE_WORKERINDEX_H
#define CORE_WORKERINDEX_H

#include "item.h"

/*
 * workerindex - the workers of an owner, indexed by their free room.
 *
 * Workers stand in buckets by free accelerators, processors and memory (log-linear levels, four to
 * an octave). A search walks bitmaps of non-empty buckets from the tightest fit upwards and looks
 * at no more than SEARCH_EXAMINE_MAX workers, whatever their number. A bucket at the edge of the
 * wanted size may hold workers that are a little too small; it is rotated when the search gives up
 * on it, so that later searches see the others.
 */
#define CAPACITY_LEVELS	      64
#define ACCEL_POOLS	      10 /* without accelerators; with 0, 1, .. 8 or more of them free */
#define SEARCH_EXAMINE_MAX    64
#define SEARCH_CANDIDATES_MAX 16
#define WORKER_NONE	      UINT32_MAX /* no handle */
#define BUCKET_NONE	      UINT32_MAX

/* Sets of workers. A worker may be in WORKERS_OPEN or WORKERS_HELD, and besides in WORKERS_RESERVE.
 */
enum worker_set {
	WORKERS_OPEN = 0, /* room that any work may take */
	WORKERS_HELD,	  /* kept free for the oldest gang: only work that ends before it starts */
	WORKERS_RESERVE,  /* whole free room of workers that keep some for urgent work */
	WORKER_SETS,
};

/* Whom room is for: some of it is set aside for slots and for urgent work. */
enum capacity_use {
	CAPACITY_FOR_ANY = 0,
	CAPACITY_FOR_URGENT,
	CAPACITY_FOR_SLOT,
};

enum search_order {
	SEARCH_BEST_FIT = 0,
	SEARCH_WORST_FIT,
	SEARCH_FIRST_FIT, /* by handle; looks at every worker */
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
	struct res slot_reserved; /* set aside for the slots of the runner */
	struct res reserved;	  /* set aside for urgent work */
	struct res urgent_used;	  /* of task_used */
	uint32_t reserved_milli;  /* kept, as a share of total */
	uint32_t slots;
	uint32_t slots_used;
	uint32_t counted_slots; /* in the sums of its runner group */
	uint32_t counted_free_slots;
	uint32_t service;
	enum worker_state state;
	bool slot_size_known; /* was added with the room that a slot takes */
	bool quarantined;     /* in quarantine */
	bool freed;	      /* on the list of workers on which room has appeared */
	bool held;	      /* kept free for the oldest gang */
	struct res free[2];   /* for any work, and for urgent work; see worker_index_free_res() */
	struct res counted_free; /* in the sum of open room */
	struct res counted_total;
	struct worker_link link[WORKER_SETS];
	struct worker_link runner; /* in the runner group of its service */
	struct item_list running;
};

/* capacity_cpu_level - level of an amount of processors, below CAPACITY_LEVELS. */
uint32_t capacity_cpu_level(const struct res *r);

struct worker_index;

struct worker_search {
	struct res want;
	enum worker_set set;
	enum search_order order;
	uint32_t max; /* candidates wanted, at most SEARCH_CANDIDATES_MAX */
	uint32_t avoid;
	uint32_t n; /* candidates found */
	uint32_t worker[SEARCH_CANDIDATES_MAX];
};

struct worker_index *worker_index_create(void);
void worker_index_destroy(struct worker_index *wi);
uint32_t worker_index_add(struct worker_index *wi, const struct worker_info *info);
/* worker_index_remove - the worker must run nothing. Its handle may be given out again. */
void worker_index_remove(struct worker_index *wi, uint32_t worker);
uint32_t worker_index_count(const struct worker_index *wi);
/* worker_index_get - NULL if there is none of that handle. */
struct indexed_worker *worker_index_get(const struct worker_index *wi, uint32_t worker);
uint32_t worker_index_handle(const struct worker_index *wi, const struct indexed_worker *w);
uint32_t worker_index_racks(const struct worker_index *wi);

/* worker_index_usable - true if the worker may be given new work. */
bool worker_index_usable(const struct indexed_worker *w);
/* worker_index_update - files the worker anew; to be called after any change of its fields. */
void worker_index_update(struct worker_index *wi, uint32_t worker);
/* worker_index_free_res - free room for urgent tasks, or for others; never below 0. */
struct res worker_index_free_res(const struct indexed_worker *w, bool urgent);
/* worker_index_slot_fits - true if work that takes a slot fits beside what runs. */
bool worker_index_slot_fits(const struct indexed_worker *w, const struct res *size);
/* worker_index_set_slot_size - sets aside room of this size for each slot, unless the worker's own
 * is known. */
void worker_index_set_slot_size(struct worker_index *wi, uint32_t worker, const struct res *size);
/* worker_index_reserve - sets aside a share of the worker, of 1000, for urgent work. */
void worker_index_reserve(struct worker_index *wi, uint32_t worker, uint32_t reserved_milli);
void worker_index_allocate(struct worker_index *wi, uint32_t worker, struct item *it);
/* worker_index_resize - changes what running work is counted_free with. */
void worker_index_resize(struct worker_index *wi, struct item *it, const struct res *size);
void worker_index_release(struct worker_index *wi, uint32_t worker, struct item *it);

/* worker_index_find - fills q->worker with at most q->max workers that fit, the best first. */
bool worker_index_find(struct worker_index *wi, struct worker_search *q);
/* worker_index_never_fits - true if no worker could hold the size even if it were empty. */
bool worker_index_never_fits(const struct worker_index *wi, const struct res *size,
			     enum capacity_use use);
/* worker_index_max_count - how many of size the workers could hold if they were empty. */
uint64_t worker_index_max_count(const struct worker_index *wi, const struct res *size);
/* res_fit_count - how many times size fits in free. */
uint32_t res_fit_count(const struct res *free, const struct res *size);
/* worker_index_total, worker_index_total_free - sums over the usable workers. */
const struct res *worker_index_total(const struct worker_index *wi);
const struct res *worker_index_total_free(const struct worker_index *wi);
/* worker_index_examined - workers looked at by searches so far. */
uint64_t worker_index_examined(const struct worker_index *wi);

#endif
