#include <glib.h>

#include "fair.h"
#include "workerindex.h"

#define TEAMS_MAX 65535u /* teams with a higher index share one entry */

/* Parked queues are listed by whether their head needs accelerators, and by its processors. */
#define FAIR_KINDS 2

struct parked_list {
	struct fair_queue *first;
	struct fair_queue *last;
};

struct fair {
	GPtrArray *teams;
	struct heap ready[FAIR_LANES];
	struct parked_list parked[FAIR_LANES][FAIR_KINDS][CAPACITY_LEVELS];
	uint64_t levels[FAIR_LANES][FAIR_KINDS]; /* bitmaps of non-empty lists */
	guint cursor;				 /* team that fair_unpark_aged() checked last */
	fair_key_fn key;
	const struct res *total;
};

static bool before(const void *a, const void *b)
{
	const struct fair_queue *qa = a;
	const struct fair_queue *qb = b;

	if (qa->key != qb->key)
		return qa->key < qb->key;
	return qa->items.first->seq < qb->items.first->seq;
}

struct fair *fair_create(fair_key_fn key, const struct res *total)
{
	struct fair *f = g_new0(struct fair, 1);

	f->teams = g_ptr_array_new();
	f->key = key;
	f->total = total;
	for (int i = 0; i < FAIR_LANES; i++)
		heap_init(&f->ready[i], before, offsetof(struct fair_queue, heap_index));
	return f;
}

static void team_destroy(struct fair_team *t, void (*drop)(void *ctx, struct item *it), void *ctx)
{
	struct item *it;

	for (int i = 0; t && i < FAIR_LANES; i++)
		while ((it = t->queue[i].items.first)) {
			item_list_remove(&t->queue[i].items, it);
			drop(ctx, it);
		}
	g_free(t);
}

void fair_destroy(struct fair *f, void (*drop)(void *ctx, struct item *it), void *ctx)
{
	for (guint i = 0; i < f->teams->len; i++)
		team_destroy(f->teams->pdata[i], drop, ctx);
	g_ptr_array_free(f->teams, TRUE);
	for (int i = 0; i < FAIR_LANES; i++)
		heap_clear(&f->ready[i]);
	g_free(f);
}

struct fair_team *fair_get_team(struct fair *f, uint32_t team)
{
	struct fair_team *t;

	team = MIN(team, TEAMS_MAX);
	if (team >= f->teams->len)
		g_ptr_array_set_size(f->teams, (gint)team + 1);
	t = f->teams->pdata[team];
	if (t)
		return t;
	t = g_new0(struct fair_team, 1);
	t->weight = 1;
	for (int i = 0; i < FAIR_LANES; i++)
		t->queue[i] = (struct fair_queue){ .team = t,
						   .heap_index = HEAP_NONE,
						   .lane = (enum fair_lane)i };
	f->teams->pdata[team] = t;
	return t;
}

bool fair_within_quota(const struct fair_team *t, const struct res *size)
{
	return (!t->quota.cpu_milli ||
		(uint64_t)t->used.cpu_milli + size->cpu_milli <= t->quota.cpu_milli) &&
	       (!t->quota.mem_bytes || t->used.mem_bytes + size->mem_bytes <= t->quota.mem_bytes) &&
	       (!t->quota.accel || t->used.accel + size->accel <= t->quota.accel);
}

double fair_dominant_share(const struct fair_team *t, const struct res *total)
{
	double cpu = total->cpu_milli ? (double)t->used.cpu_milli / total->cpu_milli : 0;
	double mem = total->mem_bytes ? (double)t->used.mem_bytes / (double)total->mem_bytes : 0;
	double accel = total->accel ? (double)t->used.accel / total->accel : 0;

	return MAX(MAX(cpu, mem), accel);
}

static struct parked_list *parked_in(struct fair *f, const struct fair_queue *q)
{
	return &f->parked[q->lane][q->kind][q->level];
}

static void parked_remove(struct fair *f, struct fair_queue *q)
{
	struct parked_list *l = parked_in(f, q);

	if (q->prev)
		q->prev->next = q->next;
	else
		l->first = q->next;
	if (q->next)
		q->next->prev = q->prev;
	else
		l->last = q->prev;
	q->prev = NULL;
	q->next = NULL;
	if (!l->first)
		f->levels[q->lane][q->kind] &= ~(1ull << q->level);
}

static void parked_append(struct fair *f, struct fair_queue *q)
{
	const struct res *size = &q->items.first->w.size;
	struct parked_list *l;

	q->kind = size->accel > 0;
	q->level = worker_index_cpu_level(size);
	l = parked_in(f, q);
	q->prev = l->last;
	if (l->last)
		l->last->next = q;
	else
		l->first = q;
	l->last = q;
	f->levels[q->lane][q->kind] |= 1ull << q->level;
}

static void set_state(struct fair *f, struct fair_queue *q, enum fair_state state)
{
	if (q->state == FAIR_READY)
		heap_remove(&f->ready[q->lane], q);
	else if (q->state == FAIR_PARKED)
		parked_remove(f, q);
	q->state = state;
	if (state == FAIR_READY) {
		q->key = f->key(q->team, q->items.first, f->total);
		heap_push(&f->ready[q->lane], q);
	} else if (state == FAIR_PARKED) {
		parked_append(f, q);
	}
}

/* Updates the state of a queue after its head or its team's use has changed. */
static void refresh(struct fair *f, struct fair_queue *q, bool new_head)
{
	const struct item *head = q->items.first;

	if (!head)
		set_state(f, q, FAIR_IDLE);
	else if (!fair_within_quota(q->team, &head->w.size))
		set_state(f, q, FAIR_AT_QUOTA);
	else if (q->state == FAIR_PARKED && !new_head)
		return;
	else
		set_state(f, q, FAIR_READY);
}

void fair_set_team(struct fair *f, uint32_t team, uint32_t weight, const struct res *quota)
{
	struct fair_team *t = fair_get_team(f, team);

	t->weight = MAX(weight, 1);
	t->quota = *quota;
	for (int i = 0; i < FAIR_LANES; i++)
		refresh(f, &t->queue[i], false);
}

void fair_push(struct fair *f, enum fair_lane lane, struct item *it)
{
	struct fair_queue *q = &fair_get_team(f, it->w.team)->queue[lane];

	item_list_append(&q->items, it);
	if (q->items.n == 1)
		refresh(f, q, true);
}

void fair_remove(struct fair *f, enum fair_lane lane, struct item *it)
{
	struct fair_queue *q = &fair_get_team(f, it->w.team)->queue[lane];
	bool head = q->items.first == it;

	if (head && q->state == FAIR_READY)
		set_state(f, q, FAIR_IDLE);
	item_list_remove(&q->items, it);
	if (head)
		refresh(f, q, true);
}

struct fair_queue *fair_next(struct fair *f, enum fair_lane lane)
{
	return heap_top(&f->ready[lane]);
}

void fair_park(struct fair *f, struct fair_queue *q)
{
	set_state(f, q, FAIR_PARKED);
}

/* Moves the queues from the first up to last to the end of their list. */
static void rotate(struct parked_list *l, struct fair_queue *last)
{
	struct fair_queue *first = l->first;

	if (!last->next)
		return;
	l->first = last->next;
	l->first->prev = NULL;
	last->next = NULL;
	first->prev = l->last;
	l->last->next = first;
	l->last = last;
}

/* Updates best with the queues whose head fits. Examined queues go to the end of their list. */
static void scan_parked(struct fair *f, struct parked_list *l, const struct res *free,
			struct fair_queue **best, uint32_t *max)
{
	struct fair_queue *last = NULL;

	for (struct fair_queue *q = l->first; q && *max; q = q->next) {
		(*max)--;
		last = q;
		if (!res_fits(&q->items.first->w.size, free))
			continue;
		q->key = f->key(q->team, q->items.first, f->total);
		if (!*best || before(q, *best))
			*best = q;
	}
	if (last)
		rotate(l, last);
}

bool fair_unpark(struct fair *f, enum fair_lane lane, const struct res *free, uint32_t max)
{
	uint32_t top = worker_index_cpu_level(free);
	uint64_t up_to = ~0ull >> (CAPACITY_LEVELS - 1 - top);
	struct fair_queue *best = NULL;

	for (int kind = free->accel ? 1 : 0; kind >= 0 && !best; kind--) {
		uint64_t levels = f->levels[lane][kind] & up_to;

		while (levels && max) {
			uint32_t level = 63 - (uint32_t)__builtin_clzll(levels);

			levels &= ~(1ull << level);
			scan_parked(f, &f->parked[lane][kind][level], free, &best, &max);
		}
	}
	if (best)
		set_state(f, best, FAIR_READY);
	return best != NULL;
}

void fair_unpark_aged(struct fair *f, int64_t before_ms, uint32_t max)
{
	for (uint32_t i = 0; i < max && i < f->teams->len; i++) {
		struct fair_team *t;

		f->cursor = (f->cursor + 1) % f->teams->len;
		t = f->teams->pdata[f->cursor];
		for (int lane = 0; t && lane < FAIR_LANES; lane++)
			if (t->queue[lane].state == FAIR_PARKED &&
			    t->queue[lane].items.first->blocked_since_ms <= before_ms)
				set_state(f, &t->queue[lane], FAIR_READY);
	}
}

static void usage_changed(struct fair *f, struct fair_team *t)
{
	for (int i = 0; i < FAIR_LANES; i++)
		if (t->queue[i].items.first)
			refresh(f, &t->queue[i], false);
}

void fair_charge(struct fair *f, uint32_t team, const struct res *size)
{
	struct fair_team *t = fair_get_team(f, team);

	res_add(&t->used, size);
	usage_changed(f, t);
}

void fair_credit(struct fair *f, uint32_t team, const struct res *size)
{
	struct fair_team *t = fair_get_team(f, team);

	res_sub(&t->used, size);
	usage_changed(f, t);
}
