#include <glib.h>

#include "urgentreserve.h"

#define WHOLE_MILLI 1000 /* a whole worker */

/* Thousandths of one more worker to reserve; less than a whole one only on the first worker. */
static uint32_t missing_milli(const struct urgent_reserve *s, int kind)
{
	uint32_t want = s->workers[kind] * s->share_milli;
	uint32_t rest = want > s->reserved_milli[kind] ? want - s->reserved_milli[kind] : 0;

	if (rest >= WHOLE_MILLI)
		return WHOLE_MILLI;
	return s->reserved_milli[kind] ? 0 : rest;
}

static void reserve_on(struct urgent_reserve *s, struct worker_index *wi, uint32_t worker, int kind)
{
	uint32_t milli = missing_milli(s, kind);

	if (!milli)
		return;
	worker_index_reserve(wi, worker, milli);
	s->reserved_milli[kind] += milli;
}

void urgent_reserve_worker_usable(struct urgent_reserve *s, struct worker_index *wi,
				  uint32_t worker)
{
	int kind = worker_index_get(wi, worker)->total.accel > 0;

	s->workers[kind]++;
	reserve_on(s, wi, worker, kind);
}

void urgent_reserve_worker_unusable(struct urgent_reserve *s, struct worker_index *wi,
				    uint32_t worker)
{
	struct indexed_worker *w = worker_index_get(wi, worker);
	int kind = w->total.accel > 0;

	s->workers[kind]--;
	if (!w->reserved_milli)
		return;
	s->reserved_milli[kind] -= w->reserved_milli;
	worker_index_reserve(wi, worker, 0);
	for (uint32_t i = 0; i < worker_index_count(wi) && missing_milli(s, kind); i++) {
		w = worker_index_get(wi, i);
		if (w && i != worker && worker_index_usable(w) && !w->reserved_milli &&
		    (w->total.accel > 0) == kind)
			reserve_on(s, wi, i, kind);
	}
}
