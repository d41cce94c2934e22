#ifndef CORE_GANGHOLD_H
#define CORE_GANGHOLD_H

#include "gang.h"
#include "workerindex.h"

/*
 * ganghold - holds workers for the oldest gang until it can start (backfill scheduling).
 *
 * Only one gang holds workers at a time, so two gangs can't wait for each other's workers. Other
 * tasks start on a held worker only if they are urgent or expected to end before the gang can
 * start. A hold expires, and the workers are chosen again after GANG_HOLD_PAUSE_MS: work that takes
 * far longer than expected must not keep others from them.
 */
#define GANG_HOLD_PAUSE_MS 2000

struct gang_hold {
	const struct gang *gang; /* NULL for none */
	GArray *workers;	 /* uint32_t handles */
	int64_t shadow_ms;	 /* when the gang is expected to start */
	int64_t until_ms;	 /* the hold expires then */
	int64_t update_ms;	 /* shadow_ms is checked then */
};

void gang_hold_init(struct gang_hold *h);
void gang_hold_clear(struct gang_hold *h);
/*
 * gang_hold_take - holds the workers on which the gang is expected to fit soonest. Examines all
 * workers and all running work, once per hold. False if the gang would not fit even then.
 */
bool gang_hold_take(struct gang_hold *h, struct worker_index *wi, const struct gang *gang,
		    int64_t now_ms);
/*
 * gang_hold_update - defers the expected start of the gang if it has passed while work on the
 * workers goes on. Returns true then: further work may start on them.
 */
bool gang_hold_update(struct gang_hold *h, const struct worker_index *wi, int64_t now_ms);
void gang_hold_release(struct gang_hold *h, struct worker_index *wi);

#endif
