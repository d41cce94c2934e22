#include "step_room.h"

struct place {
	struct cell_runner *runner;
	int64_t score;	      /* lower is better */
	uint32_t spread_left; /* tasks that it may still get */
	bool full;
};

struct step_room {
	const struct pending_step *step;
	GArray *place; /* of struct place, in the order of the candidates */
};

struct step_room *step_room_create(const struct pass *pass, const struct pending_step *ps,
				   const char *rack, bool ticketed)
{
	struct step_room *r = g_new0(struct step_room, 1);

	r->step = ps;
	r->place = g_array_new(FALSE, FALSE, sizeof(struct place));
	if (ticketed && ps->advised && !(ps->step->advice && ps->step->advice->answered))
		return r;
	pass->s->stats.examined += ps->candidates->len;
	for (guint i = 0; i < ps->candidates->len; i++) {
		struct place place = { .runner = ps->candidates->pdata[i] };

		/* Checked first, since in a full pool most runners fail it. */
		if (!pending_step_fits(ps, place.runner))
			continue;
		if (rack && g_strcmp0(place.runner->rack, rack) != 0)
			continue;
		if (ticketed && !pending_step_has_ticket(pass, ps, place.runner))
			continue;
		place.score = pending_step_score(ps, place.runner);
		place.spread_left = pending_step_spread_left(ps, place.runner);
		g_array_append_val(r->place, place);
	}
	return r;
}

void step_room_destroy(struct step_room *r)
{
	if (!r)
		return;
	g_array_unref(r->place);
	g_free(r);
}

struct cell_runner *step_room_best(const struct step_room *r, uint32_t avoid)
{
	const struct place *best = NULL;

	for (guint i = 0; i < r->place->len; i++) {
		const struct place *p = &g_array_index(r->place, struct place, i);

		if (!p->full && p->runner->handle + 1 != avoid && (!best || p->score < best->score))
			best = p;
	}
	return best ? best->runner : NULL;
}

static bool is_emptier(const struct place *a, const struct place *b, uint64_t avoid_host)
{
	bool avoid_a = a->runner->host == avoid_host;
	bool avoid_b = b->runner->host == avoid_host;

	return avoid_a != avoid_b ? avoid_b : a->runner->runs->len < b->runner->runs->len;
}

struct cell_runner *step_room_emptiest(const struct step_room *r, uint32_t avoid,
				       uint64_t avoid_host)
{
	const struct place *best = NULL;

	for (guint i = 0; i < r->place->len; i++) {
		const struct place *p = &g_array_index(r->place, struct place, i);

		if (!p->full && p->runner->handle + 1 != avoid &&
		    (!best || is_emptier(p, best, avoid_host)))
			best = p;
	}
	return best ? best->runner : NULL;
}

void step_room_taken(struct step_room *r, struct cell_runner *rn)
{
	for (guint i = 0; i < r->place->len; i++) {
		struct place *p = &g_array_index(r->place, struct place, i);

		if (p->runner != rn)
			continue;
		p->spread_left--;
		p->full = !p->spread_left || !pending_step_fits(r->step, rn);
		p->score = pending_step_score(r->step, rn);
		return;
	}
}

bool step_room_holds(const struct step_room *r, uint32_t count)
{
	uint32_t places = 0;

	for (guint i = 0; i < r->place->len && places < count; i++) {
		const struct place *p = &g_array_index(r->place, struct place, i);
		struct resources reserved = p->runner->reserved;

		places += pending_step_reserve(r->step, p->runner, count - places);
		p->runner->reserved = reserved;
	}
	return places >= count;
}
