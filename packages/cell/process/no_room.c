#include "no_room.h"

struct no_room {
	struct demand demand[NO_ROOM_MAX];
	uint32_t n;
};

struct no_room *no_room_create(void)
{
	return g_new0(struct no_room, 1);
}

void no_room_destroy(struct no_room *n)
{
	g_free(n);
}

/* Whether each runner with room for a has room for b too. */
static bool is_no_smaller(const struct demand *a, const struct demand *b)
{
	return resources_fits(&b->need, &a->need) && a->headroom_milli >= b->headroom_milli &&
	       a->backfill_ms >= b->backfill_ms && (a->filler || !b->filler) &&
	       (!*b->label || g_str_equal(a->label, b->label));
}

void no_room_add(struct no_room *n, const struct demand *d)
{
	uint32_t kept = 0;

	if (no_room_covers(n, d))
		return;
	for (uint32_t i = 0; i < n->n; i++)
		if (!is_no_smaller(&n->demand[i], d))
			n->demand[kept++] = n->demand[i];
	n->n = kept;
	if (n->n < NO_ROOM_MAX)
		n->demand[n->n++] = *d;
}

bool no_room_covers(const struct no_room *n, const struct demand *d)
{
	for (uint32_t i = 0; i < n->n; i++)
		if (is_no_smaller(d, &n->demand[i]))
			return true;
	return false;
}
