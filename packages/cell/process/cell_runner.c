#include <string.h>

#include <xxhash.h>

#include "cell_runner.h"

static void run_free(gpointer data)
{
	struct run *r = data;

	g_free(r->ticket);
	g_free(r);
}

static void set_text(char **to, const char *value)
{
	if (!g_strcmp0(*to, value))
		return;
	g_free(*to);
	*to = g_strdup(value);
}

struct cell_runner *cell_runner_create(const struct runner_info *info, uint32_t handle)
{
	struct cell_runner *rn = g_new0(struct cell_runner, 1);

	rn->id = g_strdup(info->id);
	rn->handle = handle;
	rn->incarnation_ms = info->incarnation_ms;
	rn->runs = g_ptr_array_new_with_free_func(run_free);
	cell_runner_update(rn, info);
	return rn;
}

void cell_runner_destroy(struct cell_runner *rn)
{
	if (!rn)
		return;
	g_ptr_array_unref(rn->runs);
	for (int i = 0; i < RUNNER_LABELS_MAX; i++)
		g_free(rn->label[i]);
	g_free(rn->rack);
	g_free(rn->dc);
	g_free(rn->service);
	g_free(rn->address);
	g_free(rn->id);
	g_free(rn);
}

void cell_runner_set_address(struct cell_runner *rn, const char *address, const char *dc)
{
	set_text(&rn->address, address);
	if (rn->address)
		rn->host = MAX(XXH3_64bits(rn->address, strlen(rn->address)), 1);
	set_text(&rn->dc, dc);
}

void cell_runner_update(struct cell_runner *rn, const struct runner_info *info)
{
	cell_runner_set_address(rn, info->address, info->dc);
	set_text(&rn->service, info->service);
	set_text(&rn->rack, info->rack);
	for (int i = 0; i < RUNNER_LABELS_MAX; i++)
		set_text(&rn->label[i], info->label[i]);
	rn->capacity = info->capacity;
	rn->draining = info->draining;
	rn->gone = rn->replaced;
}

void cell_runner_answered(struct cell_runner *rn, int64_t clock_ms, int64_t now_ms)
{
	rn->contacted = true;
	rn->answered_ms = now_ms;
	rn->alive_ms = now_ms;
	rn->misses = 0;
	/* Answers may arrive out of order; keep the latest reading of the clock. */
	if (clock_ms >= rn->clock_ms) {
		rn->clock_ms = clock_ms;
		rn->clock_local_ms = now_ms;
	}
}

int64_t cell_runner_survived_ms(const struct cell_runner *rn, const struct run *r)
{
	if (!r->confirmed_ms || rn->alive_ms <= r->confirmed_ms)
		return -1;
	return rn->alive_ms - r->confirmed_ms;
}

int64_t cell_runner_lease_bound_ms(int64_t ms)
{
	return ms * (1000 + RUNNER_CLOCK_DRIFT_MILLI + 1) / 1000 + RUNNER_LEASE_SLACK_MS;
}

int64_t cell_runner_grant_lease(struct cell_runner *rn, int64_t lease_ms, int64_t now_ms)
{
	int64_t until;
	int64_t deadline;

	if (!rn->clock_local_ms)
		return 0;
	deadline = rn->clock_ms + (now_ms - rn->clock_local_ms) + lease_ms;
	/* At clock_local_ms the runner's clock showed clock_ms or later. */
	until = rn->clock_local_ms + cell_runner_lease_bound_ms(deadline - rn->clock_ms);
	rn->granted_until_ms = MAX(rn->granted_until_ms, until);
	return deadline;
}

void cell_runner_first_contact(struct cell_runner *rn, int64_t lease_ms, int64_t now_ms)
{
	rn->first_contact_ms = now_ms;
	rn->granted_until_ms = now_ms + cell_runner_lease_bound_ms(lease_ms);
}

bool cell_runner_leases_lapsed(const struct cell_runner *rn, int64_t now_ms)
{
	return now_ms > rn->granted_until_ms;
}

bool cell_runner_has_label(const struct cell_runner *rn, const char *label)
{
	for (int i = 0; i < RUNNER_LABELS_MAX; i++)
		if (rn->label[i] && g_str_equal(rn->label[i], label))
			return true;
	return false;
}

void cell_runner_add_run(struct cell_runner *rn, struct run *r)
{
	r->runner = rn;
	resources_add(&rn->used, &r->need);
	rn->alone += r->alone;
	g_ptr_array_add(rn->runs, r);
}

void cell_runner_share(struct cell_runner *rn, struct run *r)
{
	rn->alone -= r->alone;
	r->alone = false;
}

void cell_runner_free_run(struct cell_runner *rn, struct run *r)
{
	resources_sub(&rn->used, &r->need);
	rn->alone -= r->alone;
	g_ptr_array_remove_fast(rn->runs, r);
}

void cell_runner_detach_run(struct cell_runner *rn, struct run *r)
{
	guint i;

	resources_sub(&rn->used, &r->need);
	rn->alone -= r->alone;
	if (g_ptr_array_find(rn->runs, r, &i))
		g_ptr_array_steal_index_fast(rn->runs, i);
}
