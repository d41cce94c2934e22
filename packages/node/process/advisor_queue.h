#ifndef NODE_ADVISOR_QUEUE_H
#define NODE_ADVISOR_QUEUE_H

#include "ports.h"

/*
 * advisor_queue - sends requests to the advisor, few at a time. The advisor serves the calls of one
 * VM sequentially anyway, and requests that are still queued here can be dropped.
 *
 * While one request is served, the next one is on its way: the round trip to an advisor in another
 * region takes as long as it serves an urgent request.
 */
#define ADVISOR_IN_FLIGHT_MAX 2

struct advisor_queue;

/* link: on which another node requested it; 0 for a request of this node. */
typedef void (*advisor_queue_fn)(void *ctx, uint64_t call, uint64_t link, bool answered,
				 const struct ticket *ticket, size_t n, uint32_t validity_ms);

struct advisor_queue *advisor_queue_create(const struct advisor *advisor, advisor_queue_fn fn,
					   void *ctx);
void advisor_queue_destroy(struct advisor_queue *aq);
/* advisor_queue_ask - copies its arguments; call and link are passed to fn. */
void advisor_queue_ask(struct advisor_queue *aq, uint64_t call, uint64_t link, const char *step,
		       const char *const *runner, size_t n, uint64_t cost_us);
/* advisor_queue_load_us - estimated time the advisor needs for all outstanding requests. */
uint64_t advisor_queue_load_us(const struct advisor_queue *aq);
/* advisor_queue_clear - drops the queued remote or local requests; fn is not called for them. */
void advisor_queue_clear(struct advisor_queue *aq, bool remote);

#endif
