#include "preempt.h"

#define VICTIM_TRIES	    8  /* victims whose workers are examined for one item */
#define RUNNING_EXAMINE_MAX 64 /* running items examined on one worker */

static bool started_last(const void *a, const void *b)
{
	const struct item *ia = a;
	const struct item *ib = b;

	if (ia->started_ms != ib->started_ms)
		return ia->started_ms > ib->started_ms;
	return ia->seq > ib->seq;
}

void preempt_init(struct heap *victims)
{
	heap_init(victims, started_last, offsetof(struct item, victim_index));
}

void preempt_add_victim(struct owner *o, struct item *it)
{
	if (o->policy->preempt && it->w.preemptible && !it->preempting)
		heap_push(&o->victims, it);
}

void preempt_remove_victim(struct owner *o, struct item *it)
{
	heap_remove(&o->victims, it);
}

/* Finds the newest victims on one worker that free enough for the item; returns 0 if they don't. */
static uint32_t find_victims(const struct owner *o, uint32_t worker, const struct item *it,
			     struct item **victim, uint32_t max)
{
	const struct indexed_worker *w = worker_index_get(o->workers, worker);
	struct res free = worker_index_free_res(w, it->w.class == WORK_URGENT);
	uint32_t n = 0;
	uint32_t seen = 0;

	if (!worker_index_usable(w) || worker == it->w.avoid_worker)
		return 0;
	for (struct item *v = w->running.last; v && n < max && seen < RUNNING_EXAMINE_MAX;
	     v = v->prev, seen++) {
		if (v->preempting) /* what it frees is meant for another item */
			return 0;
		if (!v->w.preemptible || !o->policy->preempt(v, it))
			continue;
		res_add(&free, &v->w.size);
		victim[n++] = v;
		if (res_fits(&it->w.size, &free))
			return n;
	}
	return 0;
}

static void preempt_item(struct owner *o, struct item *victim)
{
	victim->preempting = true;
	preempt_remove_victim(o, victim);
	o->ops->preempt(o->ctx, victim->w.id, victim->worker);
}

bool preempt_for(struct owner *o, struct item *it)
{
	struct item *skipped[VICTIM_TRIES];
	struct item *victim[RUNNING_EXAMINE_MAX];
	uint32_t tries = 0;
	uint32_t n = 0;

	if (!o->policy->preempt || it->preempt_requested)
		return false;
	while (!n && tries < VICTIM_TRIES && heap_top(&o->victims)) {
		skipped[tries] = heap_pop(&o->victims);
		n = find_victims(o, skipped[tries]->worker, it, victim, RUNNING_EXAMINE_MAX);
		tries++;
	}
	while (tries)
		heap_push(&o->victims, skipped[--tries]);
	for (uint32_t i = 0; i < n; i++)
		preempt_item(o, victim[i]);
	it->preempt_requested = n > 0;
	return n > 0;
}

/* Preempts the newest work on a held worker until want tasks fit; returns how many will fit. */
static uint32_t stop_for_gang(struct owner *o, uint32_t worker, const struct item *it,
			      uint32_t want)
{
	const struct indexed_worker *w = worker_index_get(o->workers, worker);
	struct res free = worker_index_free_res(w, false);
	struct item *victim[RUNNING_EXAMINE_MAX];
	uint32_t fit = worker_index_fit_count(&free, &it->w.size);
	uint32_t useful = 0;
	uint32_t n = 0;

	for (struct item *v = w->running.last; v && n < RUNNING_EXAMINE_MAX && fit < want;
	     v = v->prev) {
		uint32_t more;

		if (v->preempting || !v->w.preemptible || !o->policy->preempt(v, it))
			continue;
		victim[n++] = v;
		res_add(&free, &v->w.size);
		more = worker_index_fit_count(&free, &it->w.size);
		if (more > fit)
			useful = n;
		fit = more;
	}
	for (uint32_t i = 0; i < useful; i++)
		preempt_item(o, victim[i]);
	return MIN(fit, want);
}

bool preempt_for_gang(struct owner *o, const struct gang *gang)
{
	uint32_t left = gang->waiting.n;

	if (!o->policy->preempt)
		return false;
	for (guint i = 0; i < o->hold.workers->len && left; i++)
		left -= stop_for_gang(o, g_array_index(o->hold.workers, uint32_t, i),
				      gang->waiting.first, left);
	return left == 0;
}
