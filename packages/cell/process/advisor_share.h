#ifndef CELL_ADVISOR_SHARE_H
#define CELL_ADVISOR_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * advisor_share - how many requests to the advisor may be in flight, and for whom.
 *
 * The advisor serves the requests of each client one after the other, and a long request takes
 * twenty times as long as that of an urgent step. So each client gets one long request at a time,
 * and some clients get none.
 *
 * Requests are sent in the order of job_rank, so while jobs in time keep the advisor busy, late
 * ones would wait without end. While there is much room in a pool, a part is reserved for its steps
 * that have waited longest, whatever their rank. If there are no short requests, these steps may
 * use all clients.
 */

/*
 * The users' limit for a task without a run is 3 s. This leaves 2 s for the turn, a request of up
 * to 0.6 s and the start. With 500 ms instead, jobs in time lost 1% in the load simulation.
 */
#define ADVISOR_SHARE_WAIT_MS 1000

struct advisor_share;

/* A request in flight. */
struct advisor_request {
	uint64_t cost_us; /* estimated time that the advisor takes */
	bool overdue;	  /* sent in the reserved part */
};

/* advisor_share_create - begins with one client and no requests. */
struct advisor_share *advisor_share_create(void);
void advisor_share_destroy(struct advisor_share *a);
/* advisor_share_set_clients - sets how many clients can ask at the same time. */
void advisor_share_set_clients(struct advisor_share *a, uint32_t clients);
/* advisor_share_wait_is_over - true if a step that has waited since then is overdue. */
bool advisor_share_wait_is_over(int64_t waiting_since_ms, int64_t now_ms);
/* advisor_share_reserve - sets whether steps are overdue whose requests are long. */
void advisor_share_reserve(struct advisor_share *a, bool long_overdue);
bool advisor_share_may_send(const struct advisor_share *a, const struct advisor_request *r);
void advisor_share_begin(struct advisor_share *a, const struct advisor_request *r);
void advisor_share_end(struct advisor_share *a, const struct advisor_request *r);
/* advisor_share_is_long - true if a request of that cost delays others much. */
bool advisor_share_is_long(uint64_t cost_us);

#endif
