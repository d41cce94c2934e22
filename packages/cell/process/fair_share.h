#ifndef CELL_FAIR_SHARE_H
#define CELL_FAIR_SHARE_H

#include <glib.h>

#include "request/resources.h"

/*
 * fair_share - the order of jobs of the same rank by the weighted dominant shares of their teams.
 *
 * An account is what a team uses of one pool. Its share is the largest of its shares of the pool's
 * CPU, memory and accelerators, divided by its part of the weights of all accounts of the pool: 1
 * is what it is entitled to when all capacity is in use. Accounts whose shares differ little keep
 * the order by rank. The object is used for one placement pass.
 */
#define FAIR_SHARE_STEP_MILLI 500 /* of the share to which an account is entitled */

struct fair_share;
struct fair_account;

/* A job, in the order by rank. */
struct fair_entry {
	struct fair_account *account; /* NULL if its pool has no runners */
	struct resources wanted;      /* by its waiting tasks */
	void *job;
};

struct fair_share *fair_share_create(void);
void fair_share_destroy(struct fair_share *f);
/* fair_share_account - gets or creates an account; capacity: of the pool. */
struct fair_account *fair_share_account(struct fair_share *f, const char *pool,
					const struct resources *capacity, const char *team,
					uint32_t weight);
/* fair_share_use - adds what a job of the account uses. */
void fair_share_use(struct fair_account *a, const struct resources *used);
/*
 * fair_share_order - orders n jobs of the same rank. The account with the smallest share is served
 * first, and each job adds what it wants to the use of its account. Jobs without an account, or of
 * accounts with about the same share, keep their order.
 */
void fair_share_order(struct fair_share *f, struct fair_entry *entry, guint n);
/* fair_share_milli - the account's share, in 1/1000 of what it is entitled to. */
uint64_t fair_share_milli(const struct fair_account *a);

#endif
