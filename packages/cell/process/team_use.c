#include <glib.h>

#include "team_use.h"

struct entry {
	struct resources used;
	struct resources held; /* for waiting steps of higher rank, in the current placement pass */
	uint32_t runs;
	uint32_t held_back;
};

struct team_use {
	GHashTable *by_team; /* struct entry by name */
};

struct team_use *team_use_create(void)
{
	struct team_use *u = g_new0(struct team_use, 1);

	u->by_team = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return u;
}

void team_use_destroy(struct team_use *u)
{
	if (!u)
		return;
	g_hash_table_unref(u->by_team);
	g_free(u);
}

struct resources team_use_need(const Cell__Step *spec)
{
	return (struct resources){ .cpu_milli = spec->cpu_milli,
				   .mem_bytes = (int64_t)spec->mem_bytes,
				   .accel = spec->accel };
}

static struct entry *get(struct team_use *u, const char *team)
{
	struct entry *e = g_hash_table_lookup(u->by_team, team);

	if (!e) {
		e = g_new0(struct entry, 1);
		g_hash_table_insert(u->by_team, g_strdup(team), e);
	}
	return e;
}

static struct entry find(const struct team_use *u, const char *team)
{
	const struct entry *e = g_hash_table_lookup(u->by_team, team);

	return e ? *e : (struct entry){ 0 };
}

void team_use_add(struct team_use *u, const char *team, const struct resources *need)
{
	struct entry *e;

	if (!*team)
		return;
	e = get(u, team);
	resources_add(&e->used, need);
	e->runs++;
}

void team_use_remove(struct team_use *u, const char *team, const struct resources *need)
{
	struct entry *e;

	if (!*team)
		return;
	e = get(u, team);
	g_return_if_fail(e->runs > 0);
	resources_sub(&e->used, need);
	e->runs--;
}

/* A team that has left the configuration must not keep its entry for good. */
static gboolean forget_pass(gpointer team, gpointer value, gpointer unused)
{
	struct entry *e = value;

	e->held = (struct resources){ 0 };
	e->held_back = 0;
	return e->runs == 0;
}

void team_use_begin_pass(struct team_use *u)
{
	g_hash_table_foreach_remove(u->by_team, forget_pass, NULL);
}

/* Amounts come from callers, so their products may exceed the range. */
static int64_t times(int64_t amount, uint32_t n)
{
	int64_t product;

	return __builtin_mul_overflow(amount, (int64_t)n, &product) ? INT64_MAX : product;
}

static struct resources multiply(const struct resources *need, uint32_t n)
{
	return (struct resources){ .cpu_milli = times(need->cpu_milli, n),
				   .mem_bytes = times(need->mem_bytes, n),
				   .accel = times(need->accel, n) };
}

/* How many times `need` fits between `used` and the cap, at most max. */
static uint32_t fits(int64_t cap, int64_t used, int64_t need, uint32_t max)
{
	int64_t n;

	if (cap == 0 || need <= 0)
		return max;
	n = (cap - used) / need;
	return n < 0 ? 0 : (uint32_t)MIN(n, (int64_t)max);
}

static uint32_t fits_all(const struct resources *cap, const struct resources *used,
			 const struct resources *need, uint32_t max)
{
	max = fits(cap->cpu_milli, used->cpu_milli, need->cpu_milli, max);
	max = fits(cap->mem_bytes, used->mem_bytes, need->mem_bytes, max);
	return fits(cap->accel, used->accel, need->accel, max);
}

static bool exceeds(int64_t need, int64_t cap)
{
	return cap > 0 && need > cap;
}

static bool exceeds_any(const struct resources *need, const struct resources *cap)
{
	return exceeds(need->cpu_milli, cap->cpu_milli) ||
	       exceeds(need->mem_bytes, cap->mem_bytes) || exceeds(need->accel, cap->accel);
}

/* Whether a task or gang larger than the cap may start: nothing runs, and none waits for that. */
static bool is_idle(const struct entry *e)
{
	static const struct resources nothing = { 0 };

	return e->runs == 0 && resources_fits(&e->held, &nothing);
}

uint32_t team_use_room(const struct team_use *u, const char *team, const struct team_limit *limit,
		       const struct resources *need, uint32_t count)
{
	struct entry e = find(u, team);
	bool idle = is_idle(&e);
	uint32_t n;

	if (exceeds_any(&e.used, &limit->cap))
		return 0;
	resources_add(&e.held, &e.used);
	n = fits_all(&limit->cap, &e.held, need, count);
	return n == 0 && idle ? MIN(count, 1) : n;
}

/* The most that may ever run in one field of a cap, besides one task. */
static int64_t most(int64_t cap, uint32_t over_milli)
{
	int64_t over = cap / 1000 * over_milli + cap % 1000 * over_milli / 1000;

	return cap + over;
}

bool team_use_can_hold(const struct team_limit *limit, const struct resources *need, uint32_t count)
{
	struct resources others = multiply(need, count - 1);
	const struct resources bound = {
		.cpu_milli = most(limit->cap.cpu_milli, limit->over_milli),
		.mem_bytes = most(limit->cap.mem_bytes, limit->over_milli),
		.accel = most(limit->cap.accel, limit->over_milli),
	};

	return !exceeds_any(&others, &bound);
}

bool team_use_allows_gang(const struct team_use *u, const char *team,
			  const struct team_limit *limit, const struct resources *need,
			  uint32_t count)
{
	struct entry e = find(u, team);
	bool idle = is_idle(&e);

	if (exceeds_any(&e.used, &limit->cap))
		return false;
	resources_add(&e.held, &e.used);
	if (fits_all(&limit->cap, &e.held, need, count) == count)
		return true;
	return idle && team_use_can_hold(limit, need, count);
}

bool team_use_confirms(const struct team_use *u, const char *team, const struct team_limit *limit,
		       const struct resources *need, uint32_t own_runs)
{
	struct entry e = find(u, team);

	if (!exceeds_any(&e.used, &limit->cap))
		return true;
	return e.runs == own_runs && (own_runs == 1 || team_use_can_hold(limit, need, own_runs));
}

void team_use_hold(struct team_use *u, const char *team, const struct resources *need,
		   uint32_t count)
{
	struct resources total = multiply(need, count);
	struct entry *e;

	if (!*team)
		return;
	e = get(u, team);
	e->held.cpu_milli = MAX(e->held.cpu_milli, total.cpu_milli);
	e->held.mem_bytes = MAX(e->held.mem_bytes, total.mem_bytes);
	e->held.accel = MAX(e->held.accel, total.accel);
}

bool team_use_holds(const struct team_use *u, const char *team, const struct resources *need,
		    uint32_t count)
{
	struct entry e = find(u, team);
	struct resources total = multiply(need, count);

	return resources_fits(&total, &e.held);
}

void team_use_count_held_back(struct team_use *u, const char *team, uint32_t tasks)
{
	if (*team && tasks)
		get(u, team)->held_back += tasks;
}

static struct team_sum sum_of(const char *team, const struct entry *e)
{
	return (struct team_sum){
		.team = team, .used = e->used, .runs = e->runs, .held_back = e->held_back
	};
}

struct team_sum team_use_sum(const struct team_use *u, const char *team)
{
	struct entry e = find(u, team);

	return sum_of(team, &e);
}

void team_use_each(const struct team_use *u, void (*fn)(void *ctx, const struct team_sum *sum),
		   void *ctx)
{
	GHashTableIter it;
	gpointer team;
	gpointer value;

	g_hash_table_iter_init(&it, u->by_team);
	while (g_hash_table_iter_next(&it, &team, &value)) {
		struct team_sum sum = sum_of(team, value);

		fn(ctx, &sum);
	}
}

const char *team_use_check_job(const struct team_limit *limit, const Cell__Job *job)
{
	for (size_t i = 0; i < job->n_step; i++) {
		struct resources need = team_use_need(job->step[i]);

		if (job->step[i]->gang && !team_use_can_hold(limit, &need, job->step[i]->count))
			return "a gang is larger than its team's cap could ever hold";
	}
	return NULL;
}
