#include "job_rank.h"
#include "headroom.h"

uint32_t headroom_milli(const struct cell_job *j, const struct job_step *step,
			const struct queues *q, int64_t wall_ms)
{
	const struct queue *own = queues_find(q, j->spec->queue);
	const char *service = own ? own->service : j->spec->service;

	if (step->spec->gang || cell_job_has_lasting_step(j) ||
	    !queues_more_urgent(q, service, j->spec->priority))
		return 0;
	return job_slack_ms(j, wall_ms) >= HEADROOM_SLACK_MS ? HEADROOM_MILLI : 0;
}

bool headroom_fits(const struct cell_runner *rn, const struct resources *free,
		   const struct resources *need, uint32_t milli)
{
	struct resources want = *need;

	/*
	 * Only CPU, which is what urgent work runs out of first. A task that needs more of a runner
	 * than the headroom leaves has to have all of it.
	 */
	want.cpu_milli += rn->capacity.cpu_milli * milli / 1000;
	want.cpu_milli = MIN(want.cpu_milli, MAX(rn->capacity.cpu_milli, need->cpu_milli));
	return resources_fits(&want, free);
}
