#ifndef CORE_HOLD_H
#define CORE_HOLD_H

#include "gang.h"
#include "workerindex.h"

/*
 * hold - reserves workers for the oldest gang until it can start (backfill scheduling).
 *
 * Only one gang holds workers at a time, so two gangs can't wait for each other's workers. Nothing
 * new starts on a held worker unless it is expected to end before the gang can start. A hold
 * expires, and the workers are then chosen again.
 */
struct hold {
	const struct gang *gang; /* NULL for none */
	GArray *workers;	 /* uint32_t handles */
	int64_t shadow_ms;	 /* when the gang is expected to start */
	int64_t until_ms;	 /* the hold expires then */
};

void hold_init(struct hold *h);
void hold_clear(struct hold *h);
/*
 * hold_take - holds the workers on which the gang is expected to fit soonest. Examines all workers
 * and all running work, once per hold. False if the gang would not fit even then.
 */
bool hold_take(struct hold *h, struct worker_index *wi, const struct gang *gang, int64_t now_ms);
void hold_release(struct hold *h, struct worker_index *wi);

#endif
