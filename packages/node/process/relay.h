#ifndef NODE_RELAY_H
#define NODE_RELAY_H

#include "connection/links.h"
#include "ports.h"

/*
 * relay - sends the scheduler's orders to the runners by way of the other nodes, since one VM lacks
 * the CPU time for all HTTP calls. The nodes call the runners of their data centre; the scheduler
 * only talks to the nodes. Without a linked node it calls the runners itself.
 *
 * A node that does not answer in time, or whose link is lost, counts as a runner that does not
 * answer. It doesn't execute an order that the scheduler has given up by then: each order says when
 * that is, on the clock of the node, which the scheduler knows from its heartbeats.
 */
struct relay;

struct relay *relay_create(const struct runner_client *runners, struct links *links);
void relay_destroy(struct relay *r);

/* Orders of this node, with the semantics of struct runner_ops. route: picks the node. */
void relay_start(struct relay *r, const struct start_order *order, uint64_t fence, started_fn fn,
		 void *ctx);
void relay_stop(struct relay *r, const struct route *route, const char *runner, const char *address,
		const char *task, uint32_t run, uint64_t fence, stopped_fn fn, void *ctx);
void relay_poll(struct relay *r, const struct poll_order *order, uint64_t fence, polled_fn fn,
		void *ctx);

/* Events of struct links_ops. */
void relay_handle_order(struct relay *r, uint64_t link, const Kw__Envelope *e);
void relay_handle_reply(struct relay *r, const struct peer *p, const Kw__Envelope *e);
void relay_peer_lost(struct relay *r, const struct peer *p);
/* relay_cancel_all - completes all outstanding orders of this node as not answered. */
void relay_cancel_all(struct relay *r);

#endif
