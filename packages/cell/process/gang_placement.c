#include "advice_request.h"
#include "gang_placement.h"
#include "reserve.h"
#include "step_room.h"
#include "unplaced.h"

#define GANGS_WAITING_MILLI 500 /* share of a pool that waiting gangs may claim, in 1/1000 */
#define GANGS_WAITING_MIN   2	/* that may wait, whatever they need */

/* Finds runners for all members in rack (NULL for any); reserves nothing. */
static bool find_gang(const struct pass *pass, const struct pending_step *ps, const char *rack,
		      bool ticketed, struct cell_runner **out)
{
	struct step_room *room = step_room_create(pass, ps, rack, ticketed);
	uint32_t count = ps->step->spec->count;
	uint32_t n = 0;

	if (!step_room_holds(room, count)) {
		step_room_destroy(room);
		return false;
	}
	for (; n < count; n++) {
		const struct job_task *task = cell_job_peek_task(ps->job, ps->step->first_task + n);

		out[n] = step_room_best(room, pending_step_avoided_runner(pass, ps, task));
		if (!out[n])
			break;
		resources_add(&out[n]->reserved, &ps->need);
		step_room_taken(room, out[n]);
	}
	for (uint32_t i = 0; i < n; i++)
		resources_sub(&out[i]->reserved, &ps->need);
	step_room_destroy(room);
	return n == count;
}

static bool find_gang_rack(const struct pass *pass, const struct pending_step *ps, bool ticketed,
			   struct cell_runner **out)
{
	if (!ps->step->spec->one_rack)
		return find_gang(pass, ps, NULL, ticketed, out);
	for (guint i = 0; i < ps->candidates->len; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];

		if (pending_step_is_new_rack(ps, i) && find_gang(pass, ps, rn->rack, ticketed, out))
			return true;
	}
	return false;
}

/* The members of a gang share their run number. */
static void place_members(struct pass *pass, const struct pending_step *ps,
			  struct cell_runner **members)
{
	uint32_t first = ps->step->first_task;
	uint32_t last = 0;

	for (uint32_t i = 0; i < ps->step->spec->count; i++)
		last = MAX(last, cell_job_peek_task(ps->job, first + i)->last_run);
	for (uint32_t i = 0; i < ps->step->spec->count; i++) {
		cell_job_task(ps->job, first + i)->last_run = last;
		pending_step_place(pass, ps, first + i, members[i]);
	}
}

/*
 * Whether the gangs that wait before this one need more of the pool than will soon be free. A gang
 * beyond that would only renew tickets that expire unused.
 */
static bool is_crowded_out(const struct pending_step *ps)
{
	if (ps->pool->waiting_gangs < GANGS_WAITING_MIN)
		return false;
	return resources_exceed_share(&ps->pool->gangs, &ps->pool->capacity, GANGS_WAITING_MILLI);
}

bool gang_placement_fits_pool(const struct pending_step *ps)
{
	uint32_t places = 0;

	for (guint i = 0; i < ps->candidates->len && places < ps->step->spec->count; i++) {
		const struct cell_runner *rn = ps->candidates->pdata[i];

		places += MIN(pending_step_places(ps, &rn->capacity),
			      ps->step->spec->spread_max ? ps->step->spec->spread_max : UINT32_MAX);
	}
	return places >= ps->step->spec->count;
}

bool gang_placement_has_room(const struct pass *pass, const struct pending_step *ps)
{
	g_autofree struct cell_runner **members =
		g_new0(struct cell_runner *, ps->step->spec->count);

	return gang_placement_fits_pool(ps) && find_gang_rack(pass, ps, false, members);
}

static void add_waiting_gang(const struct pending_step *ps)
{
	ps->pool->waiting_gangs++;
	for (uint32_t i = 0; i < ps->step->spec->count; i++)
		resources_add(&ps->pool->gangs, &ps->need);
}

void gang_placement_run(struct pass *pass, const struct pending_step *ps)
{
	const Cell__Step *spec = ps->step->spec;
	g_autofree struct cell_runner **members = NULL;
	bool crowded;
	bool possible;
	bool preempted;
	uint32_t kept = 0; /* members for which room is reserved */

	for (uint32_t i = 0; i < spec->count; i++)
		if (!pending_step_task_waits(pass, ps->job, ps->step->first_task + i))
			return;
	members = g_new0(struct cell_runner *, spec->count);
	if (find_gang_rack(pass, ps, true, members)) {
		place_members(pass, ps, members);
		return;
	}
	pass->s->stats.gangs_waiting++;
	pass->s->stats.waiting_tasks += spec->count;
	/* A gang that can't start soon must not keep others waiting. */
	if (!gang_placement_fits_pool(ps))
		return;
	crowded = is_crowded_out(ps);
	if (crowded && ps->step->advice && ps->step->advice->answered) {
		add_waiting_gang(ps);
		return;
	}
	possible = find_gang_rack(pass, ps, false, members);
	preempted = !crowded && !possible && reserve_by_preemption(pass, ps, spec->count);
	if (!possible && !preempted && !reserve_has_prospect(pass, ps, spec->count)) {
		unplaced_note(pass, ps);
		return;
	}
	add_waiting_gang(ps);
	if (ps->advised)
		advice_request_send(pass, ps, possible);
	if (crowded || advice_request_is_unanswered(pass, ps))
		return;
	if (!ps->pool->yields)
		pending_step_hold_cap(pass, ps);
	if (preempted)
		kept = spec->count;
	else if (ps->advised)
		kept = reserve_on_approved(pass, ps);
	if (kept < spec->count && reserve_on_freest(pass, ps, spec->count - kept))
		kept = spec->count;
	if (kept && !possible && ps->advised)
		advice_request_renew(pass, ps);
}
