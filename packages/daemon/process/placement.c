#define G_LOG_DOMAIN "placement"

#include "clock.h"
#include "placement.h"

void placement_free(gpointer data)
{
	struct placement *pl = data;

	if (pl->timer)
		g_source_remove(pl->timer);
	if (pl->run)
		run_cancel(pl->run);
	kw__call__free_unpacked(pl->req, NULL);
	g_free(pl->task_id);
	g_free(pl);
}

struct placement *placement_create(struct racks *r, struct call *call, const Kw__Call *req)
{
	struct placement *pl = g_new0(struct placement, 1);

	pl->racks = r;
	pl->id = r->next_id++;
	pl->call = call;
	pl->req = call_request_copy(req);
	pl->received_ms = now_ms();
	pl->team = racks_intern(r, req->team);
	g_hash_table_insert(r->placements, &pl->id, pl);
	return pl;
}

void placement_forget(struct placement *pl)
{
	struct racks *r = pl->racks;

	if (pl->task_id && g_hash_table_lookup(r->tasks, pl->task_id) == pl)
		g_hash_table_remove(r->tasks, pl->task_id);
	g_hash_table_remove(r->placements, &pl->id);
}

const struct call_end *placement_draining(const struct placement *pl, struct call_end *e)
{
	return call_end_set(e, OUTCOME_NOT_RUN, 503, "drain", pl->racks->deps.set->name,
			    "the daemon is stopping");
}

void placement_submit(struct placement *pl)
{
	const Kw__Call *q = pl->req;
	struct racks *r = pl->racks;
	struct call_end e;
	struct work w = {
		.id = pl->id,
		.job = q->job[0] ? g_str_hash(q->job) + 1ULL : 0,
		/* The deadline of a task bounds the use of its claim, not its end. */
		.deadline_ms =
			q->deadline_ms && !pl->task_id ? pl->received_ms + q->deadline_ms : 0,
		.size = { .cpu_milli = q->cpu_milli, .mem_bytes = q->mem_bytes, .accel = q->accel },
		.class = (enum work_class)MIN(q->work_class, WORK_CLASSES - 1),
		.team = pl->team,
		.service = racks_intern(r, q->service),
		.run_ms = q->run_ms,
		.gang_size = q->gang_size,
		.slot = pl->task_id == NULL,
		.preemptible = q->preemptible,
		.throttleable = q->throttleable,
		.avoid_worker = UINT32_MAX,
	};

	if (r->draining) {
		call_end(pl->call, placement_draining(pl, &e));
		placement_forget(pl);
		return;
	}
	owner_submit(r->owner, &w, pl->received_ms, NULL);
	racks_schedule_run(r);
}

void placement_end(struct placement *pl, enum end_result result, const struct call_end *e)
{
	struct racks *r = pl->racks;

	owner_ended(r->owner, pl->id, result, now_ms());
	racks_schedule_run(r);
	if (pl->call)
		call_end(pl->call, e);
	pl->call = NULL;
	placement_forget(pl);
}
