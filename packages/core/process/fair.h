#ifndef CORE_FAIR_H
#define CORE_FAIR_H

#include "heap.h"
#include "item.h"
#include "retrybudget.h"

/*
 * fair - weighted dominant-resource fairness (DRF) over teams.
 *
 * Each team has a FIFO queue in each lane. The team with the smallest dominant share divided by its
 * weight is served first. A queue whose head fits nowhere is parked and does not block the others.
 * A queue whose head exceeds the team's quota waits until the team uses less.
 */
enum fair_lane { FAIR_SERVICE = 0, FAIR_BATCH, FAIR_LANES };

enum fair_state { FAIR_IDLE = 0, FAIR_READY, FAIR_PARKED, FAIR_AT_QUOTA };

struct fair_team;

/* fair_queue - the queue of one team in one lane. */
struct fair_queue {
	struct fair_team *team;
	struct item_list items;
	double key; /* smallest first */
	uint32_t heap_index;
	enum fair_state state;
	enum fair_lane lane;
	uint32_t kind; /* kind and level select the list in which it is parked */
	uint32_t level;
	struct fair_queue *prev; /* in that list */
	struct fair_queue *next;
};

struct fair_team {
	uint32_t weight;
	struct res quota; /* zero fields: no limit */
	struct res used;
	uint32_t waiting; /* items of all classes */
	struct retrybudget retries;
	struct fair_queue queue[FAIR_LANES];
};

/* fair_key_fn - key of a non-empty queue; total is the capacity of all workers. */
typedef double (*fair_key_fn)(const struct fair_team *t, const struct item *head,
			      const struct res *total);

struct fair;

struct fair *fair_create(fair_key_fn key, const struct res *total);
/* fair_destroy - passes waiting items to drop(). */
void fair_destroy(struct fair *f, void (*drop)(void *ctx, struct item *it), void *ctx);
/* fair_get_team - team with that index, created at first use with weight 1 and no quota. */
struct fair_team *fair_get_team(struct fair *f, uint32_t team);
void fair_set_team(struct fair *f, uint32_t team, uint32_t weight, const struct res *quota);
/* fair_within_quota - true if the team may use size in addition to its present use. */
bool fair_within_quota(const struct fair_team *t, const struct res *size);
/* fair_dominant_share - largest share of total that the team uses, over all dimensions. */
double fair_dominant_share(const struct fair_team *t, const struct res *total);

void fair_push(struct fair *f, enum fair_lane lane, struct item *it);
/* fair_remove - removes an item from any position of its queue. */
void fair_remove(struct fair *f, enum fair_lane lane, struct item *it);
/* fair_next - queue to serve next, NULL for none; its head is items.first. */
struct fair_queue *fair_next(struct fair *f, enum fair_lane lane);
/* fair_park - parks q, whose head fits nowhere now. */
void fair_park(struct fair *f, struct fair_queue *q);
/*
 * fair_unpark - unparks the queue to serve next among those whose head fits into free. Examines at
 * most max queues, those with large heads first. False if no head fits.
 */
bool fair_unpark(struct fair *f, enum fair_lane lane, const struct res *free, uint32_t max);
/* fair_unpark_aged - checks the next max teams; unparks queues blocked since before_ms. */
void fair_unpark_aged(struct fair *f, int64_t before_ms, uint32_t max);
/* fair_charge, fair_credit - adds size to, or subtracts it from, the use of a team. */
void fair_charge(struct fair *f, uint32_t team, const struct res *size);
void fair_credit(struct fair *f, uint32_t team, const struct res *size);

#endif
