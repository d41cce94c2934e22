#include "fair_share.h"

#define SHARE_MAX_MILLI 1e15 /* larger shares have no order: a uint64_t could not hold some */

struct fair_pool {
	char *name;
	struct resources capacity;
	uint64_t weights; /* of its accounts */
};

struct fair_account {
	struct fair_pool *pool;
	char *team;
	uint32_t weight;
	struct resources used;
	uint64_t step;	/* its share, rounded down, while entries are being ordered */
	GQueue waiting; /* indices of entries, while they are being ordered */
};

struct fair_share {
	GPtrArray *pool;    /* few, so they are searched in turn */
	GPtrArray *account; /* of struct fair_account */
	GHashTable *by_key; /* struct fair_account by pool and team */
	GString *key;	    /* buffer */
};

static void pool_free(gpointer data)
{
	struct fair_pool *p = data;

	g_free(p->name);
	g_free(p);
}

static void account_free(gpointer data)
{
	struct fair_account *a = data;

	g_queue_clear(&a->waiting);
	g_free(a->team);
	g_free(a);
}

struct fair_share *fair_share_create(void)
{
	struct fair_share *f = g_new0(struct fair_share, 1);

	f->pool = g_ptr_array_new_with_free_func(pool_free);
	f->account = g_ptr_array_new_with_free_func(account_free);
	f->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->key = g_string_new(NULL);
	return f;
}

void fair_share_destroy(struct fair_share *f)
{
	if (!f)
		return;
	g_hash_table_unref(f->by_key);
	g_ptr_array_unref(f->account);
	g_ptr_array_unref(f->pool);
	g_string_free(f->key, TRUE);
	g_free(f);
}

static struct fair_pool *get_pool(struct fair_share *f, const char *name,
				  const struct resources *capacity)
{
	struct fair_pool *p;

	for (guint i = 0; i < f->pool->len; i++) {
		p = f->pool->pdata[i];
		if (g_str_equal(p->name, name))
			return p;
	}
	p = g_new0(struct fair_pool, 1);
	p->name = g_strdup(name);
	p->capacity = *capacity;
	g_ptr_array_add(f->pool, p);
	return p;
}

struct fair_account *fair_share_account(struct fair_share *f, const char *pool,
					const struct resources *capacity, const char *team,
					uint32_t weight)
{
	struct fair_account *a;

	g_string_assign(f->key, pool);
	g_string_append_c(f->key, '\n');
	g_string_append(f->key, team);
	a = g_hash_table_lookup(f->by_key, f->key->str);
	if (a)
		return a;
	a = g_new0(struct fair_account, 1);
	a->pool = get_pool(f, pool, capacity);
	a->team = g_strdup(team);
	a->weight = MAX(weight, 1);
	a->pool->weights += a->weight;
	g_queue_init(&a->waiting);
	g_ptr_array_add(f->account, a);
	g_hash_table_insert(f->by_key, g_strdup(f->key->str), a);
	return a;
}

void fair_share_use(struct fair_account *a, const struct resources *used)
{
	resources_add(&a->used, used);
}

static double part(int64_t used, int64_t capacity)
{
	return capacity > 0 ? (double)used / (double)capacity : 0;
}

uint64_t fair_share_milli(const struct fair_account *a)
{
	const struct resources *capacity = &a->pool->capacity;
	double share = part(a->used.cpu_milli, capacity->cpu_milli);

	share = MAX(share, part(a->used.mem_bytes, capacity->mem_bytes));
	share = MAX(share, part(a->used.accel, capacity->accel));
	share = share * 1000 * (double)a->pool->weights / a->weight;
	return (uint64_t)MIN(share, SHARE_MAX_MILLI);
}

static guint head(struct fair_account *a)
{
	return GPOINTER_TO_UINT(g_queue_peek_head(&a->waiting));
}

static void set_step(struct fair_account *a)
{
	a->step = fair_share_milli(a) / FAIR_SHARE_STEP_MILLI;
}

/* The account whose job comes next. Accounts of different pools don't compete, so age decides. */
static struct fair_account *next_account(const GPtrArray *accounts)
{
	struct fair_account *best = NULL;

	for (guint i = 0; i < accounts->len; i++) {
		struct fair_account *a = accounts->pdata[i];

		if (g_queue_is_empty(&a->waiting))
			continue;
		if (!best || a->step < best->step ||
		    (a->step == best->step && head(a) < head(best)))
			best = a;
	}
	return best;
}

void fair_share_order(struct fair_share *f, struct fair_entry *entry, guint n)
{
	g_autofree struct fair_entry *old = g_memdup2(entry, sizeof(*entry) * n);
	guint placed = 0;
	struct fair_account *a;

	for (guint i = 0; i < n; i++) {
		if (old[i].account)
			g_queue_push_tail(&old[i].account->waiting, GUINT_TO_POINTER(i));
		else
			entry[placed++] = old[i];
	}
	for (guint i = 0; i < f->account->len; i++)
		set_step(f->account->pdata[i]);
	while ((a = next_account(f->account))) {
		const struct fair_entry *e = &old[GPOINTER_TO_UINT(g_queue_pop_head(&a->waiting))];

		fair_share_use(a, &e->wanted);
		set_step(a);
		entry[placed++] = *e;
	}
}
