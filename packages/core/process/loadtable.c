#include <string.h>

#include <glib.h>

#include "loadtable.h"

/*
 * Changes up to this fraction (1/N) aren't sent to the peers. Counts have a finer one, so that
 * small numbers of free slots are exact: each slot is a request.
 */
#define COUNT_TOLERANCE_DIV  32
#define AMOUNT_TOLERANCE_DIV 8

struct service_entry {
	char *service;
	uint32_t free_slots;
	uint32_t queued;
	uint32_t wait_ms;
	uint32_t picked; /* requests sent to the owner since its last heartbeat */
	struct res free;
};

struct owner_loads {
	char *name;
	char *dc;
	char *region;
	GArray *entries;
};

struct loadtable {
	struct loadtable_conf conf;
	GPtrArray *owners; /* struct owner_loads, in order of name */
};

static void entry_clear(gpointer data)
{
	g_free(((struct service_entry *)data)->service);
}

static void owner_loads_free(gpointer data)
{
	struct owner_loads *o = data;

	g_array_unref(o->entries);
	g_free(o->name);
	g_free(o->dc);
	g_free(o->region);
	g_free(o);
}

struct loadtable *loadtable_create(const struct loadtable_conf *conf)
{
	struct loadtable *t = g_new0(struct loadtable, 1);

	t->conf = *conf;
	t->conf.dc = g_strdup(conf->dc);
	t->conf.region = g_strdup(conf->region);
	t->owners = g_ptr_array_new_with_free_func(owner_loads_free);
	return t;
}

void loadtable_destroy(struct loadtable *t)
{
	if (!t)
		return;
	g_ptr_array_unref(t->owners);
	g_free((char *)t->conf.dc);
	g_free((char *)t->conf.region);
	g_free(t);
}

/* Sets *at to the index of the owner, or to where it is to be inserted. */
static bool find_owner(const struct loadtable *t, const char *name, guint *at)
{
	guint lo = 0;
	guint hi = t->owners->len;

	while (lo < hi) {
		guint mid = lo + (hi - lo) / 2;
		int cmp = strcmp(((struct owner_loads *)t->owners->pdata[mid])->name, name);

		if (cmp == 0) {
			*at = mid;
			return true;
		}
		if (cmp < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	*at = lo;
	return false;
}

static struct owner_loads *get_owner(struct loadtable *t, const char *name, const char *dc,
				     const char *region)
{
	struct owner_loads *o;
	guint at;

	if (find_owner(t, name, &at))
		return t->owners->pdata[at];
	o = g_new0(struct owner_loads, 1);
	o->name = g_strdup(name);
	o->dc = g_strdup(dc);
	o->region = g_strdup(region);
	o->entries = g_array_new(FALSE, TRUE, sizeof(struct service_entry));
	g_array_set_clear_func(o->entries, entry_clear);
	g_ptr_array_insert(t->owners, (gint)at, o);
	return o;
}

void loadtable_set(struct loadtable *t, const char *owner, const char *dc, const char *region,
		   const struct service_load *load, size_t n)
{
	struct owner_loads *o = get_owner(t, owner, dc, region);

	g_array_set_size(o->entries, 0);
	for (size_t i = 0; i < n; i++) {
		struct service_entry e = {
			.service = g_strdup(load[i].service),
			.free_slots = load[i].free_slots,
			.queued = load[i].queued,
			.wait_ms = load[i].wait_ms,
			.free = load[i].free,
		};

		g_array_append_val(o->entries, e);
	}
}

void loadtable_set_unchanged(struct loadtable *t, const char *owner)
{
	const struct owner_loads *o;
	guint at;

	if (!find_owner(t, owner, &at))
		return;
	o = t->owners->pdata[at];
	for (guint i = 0; i < o->entries->len; i++)
		g_array_index(o->entries, struct service_entry, i).picked = 0;
}

/* True if the amounts differ by more than 1/div of the larger one, or just one of them is 0. */
static bool amount_differs(uint64_t a, uint64_t b, uint64_t div)
{
	uint64_t gap = a > b ? a - b : b - a;

	if ((a == 0) != (b == 0))
		return true;
	return gap > MAX(a, b) / div;
}

static bool load_differs(const struct service_load *a, const struct service_load *b)
{
	return strcmp(a->service, b->service) != 0 ||
	       amount_differs(a->free_slots, b->free_slots, COUNT_TOLERANCE_DIV) ||
	       amount_differs(a->queued, b->queued, COUNT_TOLERANCE_DIV) ||
	       amount_differs(a->wait_ms, b->wait_ms, AMOUNT_TOLERANCE_DIV) ||
	       amount_differs(a->free.cpu_milli, b->free.cpu_milli, AMOUNT_TOLERANCE_DIV) ||
	       amount_differs(a->free.mem_bytes, b->free.mem_bytes, AMOUNT_TOLERANCE_DIV) ||
	       amount_differs(a->free.accel, b->free.accel, COUNT_TOLERANCE_DIV);
}

bool service_loads_differ(const struct service_load *a, size_t n_a, const struct service_load *b,
			  size_t n_b)
{
	if (n_a != n_b)
		return true;
	for (size_t i = 0; i < n_a; i++)
		if (load_differs(&a[i], &b[i]))
			return true;
	return false;
}

void loadtable_forget(struct loadtable *t, const char *owner)
{
	guint at;

	if (find_owner(t, owner, &at))
		g_ptr_array_remove_index(t->owners, at);
}

static struct service_entry *find_entry(const struct owner_loads *o, const char *service)
{
	for (guint i = 0; i < o->entries->len; i++) {
		struct service_entry *e = &g_array_index(o->entries, struct service_entry, i);

		if (strcmp(e->service, service) == 0)
			return e;
	}
	return NULL;
}

/* Cost in ms of a request sent now: expected wait, network delay and bytes of the answer. */
static uint64_t cost_ms(const struct loadtable *t, const struct owner_loads *o,
			const struct service_entry *e, uint64_t answer_bytes)
{
	uint64_t wait = e->wait_ms;

	if (e->picked < e->free_slots)
		wait = 0;
	else if (wait == 0)
		wait = 1 + e->picked - e->free_slots;
	if (strcmp(o->dc, t->conf.dc) == 0)
		return wait;
	if (strcmp(o->region, t->conf.region) == 0)
		return wait + 2ULL * t->conf.dc_delay_ms;
	return wait + 2ULL * t->conf.region_delay_ms + answer_bytes / MAX(t->conf.bytes_per_ms, 1U);
}

static bool is_skipped(const char *name, const char *const *skip, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (strcmp(skip[i], name) == 0)
			return true;
	return false;
}

/* Tie-breaker between owners of equal cost: the one with more spare slots is picked. */
static int64_t spare_slots(const struct service_entry *e)
{
	return (int64_t)e->free_slots - e->picked - e->queued;
}

const char *loadtable_pick(struct loadtable *t, const char *service, uint64_t answer_bytes,
			   const char *const *skip, size_t n)
{
	const struct owner_loads *best = NULL;
	struct service_entry *best_entry = NULL;
	uint64_t best_cost = UINT64_MAX;

	for (guint i = 0; i < t->owners->len; i++) {
		const struct owner_loads *o = t->owners->pdata[i];
		struct service_entry *e = find_entry(o, service);
		uint64_t cost;

		if (!e || is_skipped(o->name, skip, n))
			continue;
		cost = cost_ms(t, o, e, answer_bytes);
		if (best_entry && (cost > best_cost || (cost == best_cost &&
							spare_slots(e) <= spare_slots(best_entry))))
			continue;
		best = o;
		best_entry = e;
		best_cost = cost;
	}
	if (!best)
		return NULL;
	best_entry->picked++;
	return best->name;
}

const char *loadtable_pick_task(struct loadtable *t, const char *dc, const struct res *size)
{
	const struct owner_loads *best = NULL;
	struct service_entry *best_entry = NULL;

	for (guint i = 0; i < t->owners->len; i++) {
		const struct owner_loads *o = t->owners->pdata[i];
		struct service_entry *e = strcmp(o->dc, dc) == 0 ? find_entry(o, "") : NULL;

		if (!e || !res_fits(size, &e->free))
			continue;
		if (best_entry && e->free.cpu_milli <= best_entry->free.cpu_milli)
			continue;
		best = o;
		best_entry = e;
	}
	if (!best)
		return NULL;
	res_sub(&best_entry->free, size);
	return best->name;
}

size_t loadtable_list(const struct loadtable *t, const char *service, struct loadtable_row *row,
		      size_t n)
{
	size_t found = 0;

	for (guint i = 0; i < t->owners->len; i++) {
		const struct owner_loads *o = t->owners->pdata[i];
		const struct service_entry *e = find_entry(o, service);

		if (!e)
			continue;
		if (found < n)
			row[found] = (struct loadtable_row){
				.owner = o->name,
				.dc = o->dc,
				.load = { .service = e->service,
					  .free_slots = e->free_slots,
					  .queued = e->queued,
					  .wait_ms = e->wait_ms,
					  .free = e->free },
			};
		found++;
	}
	return found;
}
