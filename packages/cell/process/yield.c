#include "order.h"
#include "yield.h"

uint32_t yield_milli(const struct cell_job *j, const struct queues *q, int64_t wall_ms)
{
	const struct queue *own = queues_find(q, j->spec->queue);
	const char *service = own ? own->service : j->spec->service;

	if (cell_job_has_lasting_step(j) || !queues_more_urgent(q, service, j->spec->priority))
		return 0;
	return order_slack_ms(j, wall_ms) >= YIELD_SLACK_MS ? YIELD_MILLI : 0;
}

bool yield_fits(const struct exec *e, const struct amount *need, uint32_t milli)
{
	struct amount free = exec_free(e);
	struct amount want = *need;

	/* Urgent work is short of processors first; other room is not set aside. */
	want.cpu_milli += e->room.cpu_milli * milli / 1000;
	return amount_fits(&want, &free);
}
