#include "unplaced.h"
#include "headroom.h"

/* What the step demands if it leaves headroom_milli of a runner free. */
static struct demand demand_of(const struct pending_step *ps, uint32_t headroom_milli)
{
	const Cell__Step *spec = ps->step->spec;

	return (struct demand){ .need = ps->need,
				.label = spec->label,
				.headroom_milli = headroom_milli,
				.backfill_ms = ps->backfill_ms,
				.filler = spec->filler };
}

void unplaced_note(const struct pass *pass, const struct pending_step *ps)
{
	const struct demand d = demand_of(ps, ps->headroom_milli);
	struct pass_pool *pool = ps->pool;

	if (!ps->advised)
		pool->unplaced_in_row++;
	else if (pool->crowded)
		pool->unplaced_advised++;
	if (no_room_covers(pool->no_room, &d))
		return;
	/* Runners that aren't candidates, as the advisor has denied them, may have room for others.
	 */
	pass->s->stats.examined += pool->runners->len;
	for (guint i = 0; i < pool->runners->len; i++)
		if (pending_step_suits(ps, pool->runners->pdata[i]) &&
		    pending_step_has_room(ps, pool->runners->pdata[i]))
			return;
	no_room_add(pool->no_room, &d);
}

bool unplaced_is_known(const struct pass *pass, const struct pending_step *ps)
{
	struct pass_pool *pool = ps->pool;
	struct demand d;

	pool->crowded |= pool->unplaced_in_row >= UNPLACED_IN_ROW_MAX;
	if (!pool->crowded)
		return false;
	if (ps->advised && pool->unplaced_advised >= UNPLACED_ADVISED_MAX)
		return true;
	d = demand_of(ps, 0);
	if (no_room_covers(pool->no_room, &d))
		return true;
	d.headroom_milli = headroom_milli(ps->job, ps->step, pass->s->queues, pass->s->wall_ms);
	return d.headroom_milli && no_room_covers(pool->no_room, &d);
}
