#ifndef CORE_HOLD_H
#define CORE_HOLD_H

#include "gang.h"
#include "workerindex.h"

/*
 * hold - keeps workers free for the oldest gang until it can start.
 *
 * Only one gang holds workers at a time, so two gangs can't wait for each other's. Nothing new is
 * started on a held worker unless it is expected to end before the gang can start. A hold expires,
 * and is then chosen anew.
 */
struct hold {
	const struct gang *gang; /* NULL for none */
	GArray *workers;	 /* uint32_t */
	int64_t shadow_ms;	 /* when the gang is expected to start */
	int64_t until_ms;
};

void hold_init(struct hold *h);
void hold_clear(struct hold *h);
/*
 * hold_take - holds the workers that are expected to have room for the gang soonest. Looks at all
 * workers and all that runs, once for each hold. False if they can't hold it even then.
 */
bool hold_take(struct hold *h, struct worker_index *wi, const struct gang *gang, int64_t now_ms);
void hold_release(struct hold *h, struct worker_index *wi);

#endif
