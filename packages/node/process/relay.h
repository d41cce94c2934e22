#ifndef NODE_RELAY_H
#define NODE_RELAY_H

#include "connection/links.h"
#include "ports.h"

/*
 * relay - carries the scheduler's orders to the runners through the other nodes, since one VM has
 * not the processor time for all of them. A node talks HTTP to the runners of its data centre; the
 * scheduler talks to the nodes. Without a linked node it does it by itself.
 *
 * A node that gives no answer in time, or whose link is lost, is the same as a runner that gives
 * none.
 */
struct relay;

struct relay *relay_create(const struct runners *runners, struct links *links);
void relay_destroy(struct relay *r);

/* Orders of this node, as of struct runner_ops; the route tells which way they go. */
void relay_start(struct relay *r, const struct start_order *order, uint64_t term, started_fn fn,
		 void *ctx);
void relay_stop(struct relay *r, const struct route *route, const char *runner, const char *address,
		const char *task, uint32_t run, uint64_t term, stopped_fn fn, void *ctx);
void relay_look(struct relay *r, const struct poll_order *order, uint64_t term, looked_fn fn,
		void *ctx);

/* What links tell: struct links_ops. */
void relay_order(struct relay *r, const Kw__Envelope *e);
void relay_replied(struct relay *r, const Kw__Envelope *e);
void relay_peer_lost(struct relay *r, const struct peer *p);
/* relay_clear - tells all that this node has ordered that no answer comes. */
void relay_clear(struct relay *r);

#endif
