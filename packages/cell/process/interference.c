#include "interference.h"

static bool has_filler(const struct cell_runner *rn)
{
	for (guint i = 0; i < rn->runs->len; i++) {
		const struct run *r = rn->runs->pdata[i];

		if (r->spec->filler && !r->stopping)
			return true;
	}
	return false;
}

static bool has_target(const struct cell_runner *rn)
{
	for (guint i = 0; i < rn->runs->len; i++)
		if (((const struct run *)rn->runs->pdata[i])->spec->tail_target_ms)
			return true;
	return false;
}

bool interference_forbids(const struct cell_runner *rn, const Cell__Step *spec, int64_t now_ms)
{
	return spec->filler && rn->no_fillers_until_ms > now_ms && has_target(rn);
}

bool interference_is_likely(const struct cell_runner *rn, const Cell__Step *spec)
{
	return (spec->filler && has_target(rn)) || (spec->tail_target_ms && has_filler(rn));
}

bool interference_is_shared(const struct cell_runner *rn)
{
	return has_filler(rn) && has_target(rn);
}

/* A pause that is long over says nothing of the tasks that are there now. */
static void pause_fillers(struct scheduler *s, struct cell_runner *rn)
{
	int64_t pause_ms = rn->filler_pause_ms * 2;

	if (s->now_ms - rn->no_fillers_until_ms > INTERFERENCE_PAUSE_MAX_MS)
		pause_ms = 0;
	rn->filler_pause_ms = CLAMP(pause_ms, INTERFERENCE_PAUSE_MIN_MS, INTERFERENCE_PAUSE_MAX_MS);
	rn->no_fillers_until_ms = s->now_ms + rn->filler_pause_ms;
}

static void stop_fillers(struct scheduler *s, struct cell_runner *rn)
{
	for (guint i = 0; i < rn->runs->len; i++) {
		struct run *r = rn->runs->pdata[i];

		if (!r->spec->filler || r->stopping)
			continue;
		scheduler_report_run(s, DECISION_INTERFERES, r);
		scheduler_stop_run(s, r);
	}
}

void interference_note_tail(struct scheduler *s, struct run *r, uint32_t tail_ms)
{
	struct cell_runner *rn = r->runner;

	if (tail_ms <= r->spec->tail_target_ms || !has_filler(rn)) {
		r->over_target_since_ms = 0;
		return;
	}
	if (!r->over_target_since_ms)
		r->over_target_since_ms = s->now_ms;
	if (s->now_ms - r->over_target_since_ms < INTERFERENCE_OVER_MS)
		return;
	r->over_target_since_ms = 0;
	pause_fillers(s, rn);
	stop_fillers(s, rn);
}
