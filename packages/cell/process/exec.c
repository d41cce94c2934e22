#include "exec.h"

void amount_add(struct amount *to, const struct amount *what)
{
	to->cpu_milli += what->cpu_milli;
	to->mem_bytes += what->mem_bytes;
	to->accel += what->accel;
}

void amount_sub(struct amount *from, const struct amount *what)
{
	from->cpu_milli -= what->cpu_milli;
	from->mem_bytes -= what->mem_bytes;
	from->accel -= what->accel;
}

static void run_free(gpointer data)
{
	struct run *r = data;

	g_free(r->ticket);
	g_free(r);
}

struct exec *exec_create(const struct runner_info *info, uint32_t handle)
{
	struct exec *e = g_new0(struct exec, 1);

	e->id = g_strdup(info->id);
	e->handle = handle;
	e->born_ms = info->born_ms;
	e->run = g_ptr_array_new_with_free_func(run_free);
	exec_update(e, info);
	return e;
}

void exec_destroy(struct exec *e)
{
	if (!e)
		return;
	g_ptr_array_unref(e->run);
	for (int i = 0; i < EXEC_LABELS_MAX; i++)
		g_free(e->label[i]);
	g_free(e->rack);
	g_free(e->zone);
	g_free(e->service);
	g_free(e->address);
	g_free(e->id);
	g_free(e);
}

static void set_text(char **to, const char *value)
{
	if (!g_strcmp0(*to, value))
		return;
	g_free(*to);
	*to = g_strdup(value);
}

void exec_update(struct exec *e, const struct runner_info *info)
{
	set_text(&e->address, info->address);
	set_text(&e->service, info->service);
	set_text(&e->zone, info->zone);
	set_text(&e->rack, info->rack);
	for (int i = 0; i < EXEC_LABELS_MAX; i++)
		set_text(&e->label[i], info->label[i]);
	e->room = info->room;
	e->draining = info->draining;
	e->gone = false;
}

void exec_answered(struct exec *e, int64_t clock_ms, int64_t now_ms)
{
	e->contacted = true;
	e->answered_ms = now_ms;
	e->misses = 0;
	/* Answers may overtake each other; the latest reading of the clock counts. */
	if (clock_ms >= e->clock_ms) {
		e->clock_ms = clock_ms;
		e->clock_local_ms = now_ms;
	}
}

int64_t exec_lease_most_ms(int64_t ms)
{
	return ms * (1000 + EXEC_DRIFT_MILLI + 1) / 1000 + EXEC_SLACK_MS;
}

int64_t exec_grant(struct exec *e, int64_t lease_ms, int64_t now_ms)
{
	int64_t until;
	int64_t deadline;

	if (!e->clock_local_ms)
		return 0;
	deadline = e->clock_ms + (now_ms - e->clock_local_ms) + lease_ms;
	/* At clock_local_ms the runner's clock stood at clock_ms or later. */
	until = e->clock_local_ms + exec_lease_most_ms(deadline - e->clock_ms);
	e->granted_until_ms = MAX(e->granted_until_ms, until);
	return deadline;
}

void exec_reached(struct exec *e, int64_t lease_ms, int64_t now_ms)
{
	e->reached_ms = now_ms;
	e->granted_until_ms = now_ms + exec_lease_most_ms(lease_ms);
}

bool exec_lapsed(const struct exec *e, int64_t now_ms)
{
	return now_ms > e->granted_until_ms;
}

bool exec_has_label(const struct exec *e, const char *label)
{
	for (int i = 0; i < EXEC_LABELS_MAX; i++)
		if (e->label[i] && g_str_equal(e->label[i], label))
			return true;
	return false;
}

void exec_take(struct exec *e, struct run *r)
{
	r->exec = e;
	amount_add(&e->used, &r->need);
	g_ptr_array_add(e->run, r);
}

void exec_release(struct exec *e, struct run *r)
{
	amount_sub(&e->used, &r->need);
	g_ptr_array_remove_fast(e->run, r);
}

void exec_steal(struct exec *e, struct run *r)
{
	guint i;

	amount_sub(&e->used, &r->need);
	if (g_ptr_array_find(e->run, r, &i))
		g_ptr_array_steal_index_fast(e->run, i);
}
