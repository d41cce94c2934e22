#include <string.h>

#include <glib.h>

#include "workerindex.h"

#define CPU_UNIT_MILLI	   50u /* width of the lowest levels */
#define MEM_UNIT_BYTES	   (64ull << 20)
#define BUCKET_EXAMINE_MAX 16 /* workers examined in one bucket */

struct bucket_index {
	uint64_t rows[ACCEL_POOLS]; /* bitmap of non-empty rows, by processor level */
	uint64_t row[ACCEL_POOLS][CAPACITY_LEVELS]; /* of non-empty buckets, by memory level */
	uint32_t head[ACCEL_POOLS][CAPACITY_LEVELS][CAPACITY_LEVELS]; /* handle + 1, 0 for none */
};

/* Workers of equal size and equal reservations. */
struct shape {
	struct res total;
	struct res slot_reserved;
	struct res reserved;
	uint32_t n;
};

struct worker_index {
	GPtrArray *workers;
	GArray *free_handles;
	GHashTable *racks; /* name -> number */
	GArray *shapes;
	struct bucket_index *index[WORKER_SETS];
	struct res total;
	struct res total_free;
	uint32_t count;
	uint64_t examined;
};

struct worker_index *worker_index_create(void)
{
	struct worker_index *wi = g_new0(struct worker_index, 1);

	wi->workers = g_ptr_array_new();
	wi->free_handles = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	wi->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wi->shapes = g_array_new(FALSE, FALSE, sizeof(struct shape));
	for (int i = 0; i < WORKER_SETS; i++)
		wi->index[i] = g_new0(struct bucket_index, 1);
	return wi;
}

static void worker_free(struct indexed_worker *w)
{
	if (!w)
		return;
	g_free(w->name);
	g_free(w);
}

void worker_index_destroy(struct worker_index *wi)
{
	for (guint i = 0; i < wi->workers->len; i++)
		worker_free(wi->workers->pdata[i]);
	g_ptr_array_free(wi->workers, TRUE);
	g_array_free(wi->free_handles, TRUE);
	g_hash_table_destroy(wi->racks);
	g_array_free(wi->shapes, TRUE);
	for (int i = 0; i < WORKER_SETS; i++)
		g_free(wi->index[i]);
	g_free(wi);
}

static uint32_t level(uint64_t units)
{
	uint32_t e;
	uint32_t l;

	if (units < 4)
		return (uint32_t)units;
	e = 63 - (uint32_t)__builtin_clzll(units);
	l = ((e - 1) << 2) + (uint32_t)((units >> (e - 2)) & 3);
	return MIN(l, CAPACITY_LEVELS - 1);
}

uint32_t worker_index_cpu_level(const struct res *r)
{
	return level(r->cpu_milli / CPU_UNIT_MILLI);
}

static uint32_t mem_level(const struct res *r)
{
	return level(r->mem_bytes / MEM_UNIT_BYTES);
}

static uint32_t pool_of(const struct indexed_worker *w, const struct res *free)
{
	return w->total.accel ? 1 + MIN(free->accel, (uint32_t)ACCEL_POOLS - 2) : 0;
}

static uint32_t *bucket_head(struct bucket_index *x, uint32_t bucket)
{
	return (uint32_t *)x->head + bucket;
}

static uint32_t bucket_of(uint32_t pool, uint32_t cpu, uint32_t mem)
{
	return (pool * CAPACITY_LEVELS + cpu) * CAPACITY_LEVELS + mem;
}

static void unlink_worker(struct worker_index *wi, enum worker_set set, uint32_t worker)
{
	struct bucket_index *x = wi->index[set];
	struct worker_link *l = &worker_index_get(wi, worker)->link[set];
	uint32_t bucket = l->bucket;
	uint32_t row = bucket / CAPACITY_LEVELS;
	uint64_t *bits;

	if (bucket == BUCKET_NONE)
		return;
	l->bucket = BUCKET_NONE;
	if (l->next != worker) {
		worker_index_get(wi, l->next)->link[set].prev = l->prev;
		worker_index_get(wi, l->prev)->link[set].next = l->next;
		if (*bucket_head(x, bucket) == worker + 1)
			*bucket_head(x, bucket) = l->next + 1;
		return;
	}
	*bucket_head(x, bucket) = 0;
	bits = &x->row[row / CAPACITY_LEVELS][row % CAPACITY_LEVELS];
	*bits &= ~(1ull << (bucket % CAPACITY_LEVELS));
	if (!*bits)
		x->rows[row / CAPACITY_LEVELS] &= ~(1ull << (row % CAPACITY_LEVELS));
}

static void link_worker(struct worker_index *wi, enum worker_set set, uint32_t worker,
			uint32_t bucket)
{
	struct bucket_index *x = wi->index[set];
	struct worker_link *l = &worker_index_get(wi, worker)->link[set];
	uint32_t row = bucket / CAPACITY_LEVELS;
	uint32_t *head = bucket_head(x, bucket);
	struct worker_link *first;

	l->bucket = bucket;
	x->rows[row / CAPACITY_LEVELS] |= 1ull << (row % CAPACITY_LEVELS);
	x->row[row / CAPACITY_LEVELS][row % CAPACITY_LEVELS] |= 1ull << (bucket % CAPACITY_LEVELS);
	if (!*head) {
		l->prev = worker;
		l->next = worker;
		*head = worker + 1;
		return;
	}
	first = &worker_index_get(wi, *head - 1)->link[set];
	l->next = *head - 1;
	l->prev = first->prev;
	worker_index_get(wi, first->prev)->link[set].next = worker;
	first->prev = worker;
}

static void reindex(struct worker_index *wi, enum worker_set set, uint32_t worker, bool member,
		    const struct res *free)
{
	struct indexed_worker *w = worker_index_get(wi, worker);
	uint32_t bucket = BUCKET_NONE;

	if (member && (free->cpu_milli || free->mem_bytes))
		bucket = bucket_of(pool_of(w, free), worker_index_cpu_level(free), mem_level(free));
	if (w->link[set].bucket == bucket)
		return;
	unlink_worker(wi, set, worker);
	if (bucket != BUCKET_NONE)
		link_worker(wi, set, worker, bucket);
}

static bool res_equal(const struct res *a, const struct res *b)
{
	return a->cpu_milli == b->cpu_milli && a->mem_bytes == b->mem_bytes && a->accel == b->accel;
}

static void count_shape(struct worker_index *wi, const struct indexed_worker *w, int by)
{
	struct shape s = { .total = w->total,
			   .slot_reserved = w->slot_reserved,
			   .reserved = w->reserved,
			   .n = 1 };

	for (guint i = 0; i < wi->shapes->len; i++) {
		struct shape *have = &g_array_index(wi->shapes, struct shape, i);

		if (!res_equal(&have->total, &s.total) ||
		    !res_equal(&have->reserved, &s.reserved) ||
		    !res_equal(&have->slot_reserved, &s.slot_reserved))
			continue;
		have->n += (uint32_t)by;
		if (!have->n)
			g_array_remove_index_fast(wi->shapes, i);
		return;
	}
	g_assert(by > 0);
	g_array_append_val(wi->shapes, s);
}

static struct res slot_reserved(const struct indexed_worker *w, const struct res *size)
{
	struct res slots = {
		.cpu_milli = w->slots * size->cpu_milli,
		.mem_bytes = w->slots * size->mem_bytes,
		.accel = w->slots * size->accel,
	};

	/* At most half: if the slots filled the worker, tasks could never start on it. */
	return (struct res){
		.cpu_milli = MIN(slots.cpu_milli, w->total.cpu_milli / 2),
		.mem_bytes = MIN(slots.mem_bytes, w->total.mem_bytes / 2),
		.accel = MIN(slots.accel, w->total.accel / 2),
	};
}

void worker_index_set_slot_size(struct worker_index *wi, uint32_t worker, const struct res *size)
{
	struct indexed_worker *w = worker_index_get(wi, worker);

	if (w->slot_size_known)
		return;
	count_shape(wi, w, -1);
	w->slot_reserved = slot_reserved(w, size);
	count_shape(wi, w, 1);
	worker_index_update(wi, worker);
}

uint32_t worker_index_add(struct worker_index *wi, const struct worker_info *info)
{
	struct indexed_worker *w = g_new0(struct indexed_worker, 1);
	uint32_t worker = wi->workers->len;
	gpointer rack;

	if (!g_hash_table_lookup_extended(wi->racks, info->rack ? info->rack : "", NULL, &rack)) {
		rack = GUINT_TO_POINTER(g_hash_table_size(wi->racks));
		g_hash_table_insert(wi->racks, g_strdup(info->rack ? info->rack : ""), rack);
	}
	w->name = g_strdup(info->name);
	w->rack = GPOINTER_TO_UINT(rack);
	w->total = info->total;
	w->slots = info->connections ? MIN(info->slots, info->connections) : info->slots;
	if (info->service == UINT32_MAX)
		w->slots = 0;
	w->slot_reserved = slot_reserved(w, &info->slot_size);
	w->slot_size_known =
		info->slot_size.cpu_milli || info->slot_size.mem_bytes || info->slot_size.accel;
	w->service = info->service;
	w->group_link.bucket = BUCKET_NONE;
	for (int i = 0; i < WORKER_SETS; i++)
		w->link[i].bucket = BUCKET_NONE;
	if (wi->free_handles->len) {
		worker = g_array_index(wi->free_handles, uint32_t, wi->free_handles->len - 1);
		g_array_set_size(wi->free_handles, wi->free_handles->len - 1);
		wi->workers->pdata[worker] = w;
	} else {
		g_ptr_array_add(wi->workers, w);
	}
	count_shape(wi, w, 1);
	worker_index_update(wi, worker);
	wi->count++;
	return worker;
}

void worker_index_remove(struct worker_index *wi, uint32_t worker)
{
	struct indexed_worker *w = worker_index_get(wi, worker);

	g_assert(w && !w->running.n);
	w->state = WORKER_LOST;
	worker_index_update(wi, worker);
	count_shape(wi, w, -1);
	worker_free(w);
	wi->workers->pdata[worker] = NULL;
	g_array_append_val(wi->free_handles, worker);
	wi->count--;
}

uint32_t worker_index_count(const struct worker_index *wi)
{
	return wi->workers->len;
}

struct indexed_worker *worker_index_get(const struct worker_index *wi, uint32_t worker)
{
	return worker < wi->workers->len ? wi->workers->pdata[worker] : NULL;
}

uint32_t worker_index_racks(const struct worker_index *wi)
{
	return g_hash_table_size(wi->racks);
}

bool worker_index_usable(const struct indexed_worker *w)
{
	return w->state == WORKER_READY && !w->quarantined;
}

static struct res res_max(const struct res *a, const struct res *b)
{
	return (struct res){
		.mem_bytes = MAX(a->mem_bytes, b->mem_bytes),
		.cpu_milli = MAX(a->cpu_milli, b->cpu_milli),
		.accel = MAX(a->accel, b->accel),
	};
}

/* a - b, with no dimension below 0 */
static struct res res_sub_clamped(const struct res *a, const struct res *b)
{
	return (struct res){
		.mem_bytes = a->mem_bytes > b->mem_bytes ? a->mem_bytes - b->mem_bytes : 0,
		.cpu_milli = a->cpu_milli > b->cpu_milli ? a->cpu_milli - b->cpu_milli : 0,
		.accel = a->accel > b->accel ? a->accel - b->accel : 0,
	};
}

static void update_free(struct indexed_worker *w)
{
	struct res used = res_max(&w->slot_used, &w->slot_reserved);
	struct res reserved = res_sub_clamped(&w->reserved, &w->urgent_used);

	res_add(&used, &w->task_used);
	w->free[true] = (struct res){ 0 };
	if (w->slots_used <= w->slots &&
	    res_fits(&used, &w->total)) /* else the worker counts as full */
		w->free[true] = res_sub_clamped(&w->total, &used);
	w->free[false] = res_sub_clamped(&w->free[true], &reserved);
}

struct res worker_index_free_res(const struct indexed_worker *w, bool urgent)
{
	return w->free[urgent];
}

bool worker_index_slot_fits(const struct indexed_worker *w, const struct res *size)
{
	struct res used = w->task_used;
	res_add(&used, &w->slot_used);
	res_add(&used, size);
	return w->slots_used < w->slots && res_fits(&used, &w->total);
}

static void update_totals(struct worker_index *wi, struct indexed_worker *w, const struct res *free,
			  bool usable)
{
	res_sub(&wi->total_free, &w->counted_free);
	w->counted_free = *free;
	res_add(&wi->total_free, free);
	res_sub(&wi->total, &w->counted_total);
	w->counted_total = usable ? w->total : (struct res){ 0 };
	res_add(&wi->total, &w->counted_total);
}

void worker_index_update(struct worker_index *wi, uint32_t worker)
{
	struct indexed_worker *w = worker_index_get(wi, worker);
	bool usable = worker_index_usable(w);
	struct res open = { 0 };

	update_free(w);
	if (usable)
		open = w->free[false];
	update_totals(wi, w, &open, usable);
	reindex(wi, WORKERS_OPEN, worker, usable && !w->held, &open);
	reindex(wi, WORKERS_HELD, worker, usable && w->held, &open);
	if (w->reserved.cpu_milli || w->link[WORKERS_RESERVED].bucket != BUCKET_NONE) {
		reindex(wi, WORKERS_RESERVED, worker, usable && w->reserved.cpu_milli,
			&w->free[true]);
	}
}

void worker_index_reserve(struct worker_index *wi, uint32_t worker, uint32_t reserved_milli)
{
	struct indexed_worker *w = worker_index_get(wi, worker);
	struct res share = {
		.cpu_milli = (uint32_t)((uint64_t)w->total.cpu_milli * reserved_milli / 1000),
		.mem_bytes = w->total.mem_bytes / 1000 * reserved_milli,
		.accel = (w->total.accel * reserved_milli + 999) / 1000,
	};

	count_shape(wi, w, -1);
	w->reserved = reserved_milli == 1000 ? w->total : share;
	w->reserved_milli = reserved_milli;
	count_shape(wi, w, 1);
	worker_index_update(wi, worker);
}

static void add_use(struct indexed_worker *w, const struct item *it)
{
	if (it->w.slot) {
		res_add(&w->slot_used, &it->w.size);
		return;
	}
	res_add(&w->task_used, &it->w.size);
	if (it->w.class == WORK_URGENT)
		res_add(&w->urgent_used, &it->w.size);
}

static void sub_use(struct indexed_worker *w, const struct item *it)
{
	if (it->w.slot) {
		res_sub(&w->slot_used, &it->w.size);
		return;
	}
	res_sub(&w->task_used, &it->w.size);
	if (it->w.class == WORK_URGENT)
		res_sub(&w->urgent_used, &it->w.size);
}

void worker_index_allocate(struct worker_index *wi, uint32_t worker, struct item *it)
{
	struct indexed_worker *w = worker_index_get(wi, worker);

	it->worker = worker;
	item_list_append(&w->running, it);
	w->slots_used += it->w.slot;
	add_use(w, it);
	worker_index_update(wi, worker);
}

void worker_index_release(struct worker_index *wi, uint32_t worker, struct item *it)
{
	struct indexed_worker *w = worker_index_get(wi, worker);

	item_list_remove(&w->running, it);
	w->slots_used -= it->w.slot;
	sub_use(w, it);
	worker_index_update(wi, worker);
}

void worker_index_resize(struct worker_index *wi, struct item *it, const struct res *size)
{
	struct indexed_worker *w = worker_index_get(wi, it->worker);

	sub_use(w, it);
	it->w.size = *size;
	add_use(w, it);
	worker_index_update(wi, it->worker);
}

static void examine(struct worker_index *wi, struct worker_search *q, uint32_t worker)
{
	const struct indexed_worker *w = worker_index_get(wi, worker);

	wi->examined++;
	if (worker != q->avoid && res_fits(&q->want, &w->free[q->set == WORKERS_RESERVED]))
		q->worker[q->n++] = worker;
}

static void scan_bucket(struct worker_index *wi, struct worker_search *q, uint32_t bucket,
			uint32_t *budget)
{
	uint32_t *head = bucket_head(wi->index[q->set], bucket);
	uint32_t worker = *head - 1;

	for (int i = 0; i < BUCKET_EXAMINE_MAX && *budget && q->n < q->max; i++) {
		(*budget)--;
		examine(wi, q, worker);
		worker = worker_index_get(wi, worker)->link[q->set].next;
		if (worker == *head - 1)
			return;
	}
	if (!q->n)
		*head = worker + 1;
}

static uint32_t take_bit(uint64_t *bits, enum search_order order)
{
	uint32_t i = order == SEARCH_WORST_FIT ? 63 - (uint32_t)__builtin_clzll(*bits)
					       : (uint32_t)__builtin_ctzll(*bits);

	*bits &= ~(1ull << i);
	return i;
}

static void scan_pool(struct worker_index *wi, struct worker_search *q, uint32_t pool, uint32_t max)
{
	struct bucket_index *x = wi->index[q->set];
	uint64_t rows = x->rows[pool] & (~0ull << worker_index_cpu_level(&q->want));
	uint32_t budget = SEARCH_EXAMINE_MAX;
	uint32_t saved = q->max;

	q->max = MIN(max, q->max);
	while (rows && budget && q->n < q->max) {
		uint32_t c = take_bit(&rows, q->order);
		uint64_t row = x->row[pool][c] & (~0ull << mem_level(&q->want));

		while (row && budget && q->n < q->max)
			scan_bucket(wi, q, bucket_of(pool, c, take_bit(&row, q->order)), &budget);
	}
	q->max = saved;
}

static void scan_all(struct worker_index *wi, struct worker_search *q)
{
	for (uint32_t i = 0; i < wi->workers->len && q->n < q->max; i++) {
		const struct indexed_worker *w = worker_index_get(wi, i);

		if (w && w->link[q->set].bucket != BUCKET_NONE)
			examine(wi, q, i);
	}
}

bool worker_index_find(struct worker_index *wi, struct worker_search *q)
{
	uint32_t first = q->want.accel ? 1 + MIN(q->want.accel, (uint32_t)ACCEL_POOLS - 2) : 0;

	g_assert(q->max <= SEARCH_CANDIDATES_MAX);
	q->n = 0;
	if (q->order == SEARCH_FIRST_FIT) {
		scan_all(wi, q);
		return q->n > 0;
	}
	for (uint32_t pool = first; pool < ACCEL_POOLS && q->n < q->max; pool++) {
		scan_pool(wi, q, pool, q->order == SEARCH_WORST_FIT ? q->n + 1 : q->max);
		if (q->n && q->order == SEARCH_BEST_FIT)
			break;
	}
	return q->n > 0;
}

static struct res shape_capacity(const struct shape *s, enum capacity_use use)
{
	struct res reserved = s->slot_reserved;

	if (use == CAPACITY_FOR_SLOT)
		return s->total;
	if (use == CAPACITY_FOR_ANY)
		res_add(&reserved, &s->reserved);
	return res_sub_clamped(&s->total, &reserved);
}

bool worker_index_never_fits(const struct worker_index *wi, const struct res *size,
			     enum capacity_use use)
{
	for (guint i = 0; i < wi->shapes->len; i++) {
		struct res capacity =
			shape_capacity(&g_array_index(wi->shapes, struct shape, i), use);

		if (res_fits(size, &capacity))
			return false;
	}
	return wi->shapes->len > 0;
}

uint32_t worker_index_fit_count(const struct res *free, const struct res *size)
{
	uint64_t n = UINT32_MAX;

	if (size->cpu_milli)
		n = MIN(n, free->cpu_milli / size->cpu_milli);
	if (size->mem_bytes)
		n = MIN(n, free->mem_bytes / size->mem_bytes);
	if (size->accel)
		n = MIN(n, free->accel / size->accel);
	return (uint32_t)n;
}

uint64_t worker_index_max_count(const struct worker_index *wi, const struct res *size)
{
	uint64_t n = 0;

	for (guint i = 0; i < wi->shapes->len; i++) {
		const struct shape *s = &g_array_index(wi->shapes, struct shape, i);
		struct res capacity = shape_capacity(s, CAPACITY_FOR_ANY);

		n += (uint64_t)s->n * worker_index_fit_count(&capacity, size);
	}
	return wi->shapes->len ? n : UINT64_MAX;
}

const struct res *worker_index_total(const struct worker_index *wi)
{
	return &wi->total;
}

const struct res *worker_index_total_free(const struct worker_index *wi)
{
	return &wi->total_free;
}

uint64_t worker_index_examined(const struct worker_index *wi)
{
	return wi->examined;
}
