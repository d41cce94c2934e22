#ifndef NODE_LINKS_H
#define NODE_LINKS_H

#include <gio/gio.h>

#include "kw.pb-c.h"
#include "ports.h"
#include "process/status.h"

/*
 * links - framed TCP between the scheduler and the other nodes. Each node keeps one link to the
 * scheduler; over it states of jobs are asked for, and the scheduler asks for advice.
 */
struct links;
struct peer;

#define LINKS_HEARTBEAT_TIMEOUT_MS                                                                 \
	500 /* three beats lost; 24 ms there and back between regions                              \
	     */

/* state is the one that may be shown; known is false if the other side does not schedule it. */
typedef void (*job_state_fn)(void *ctx, bool known, enum job_state state);

struct links_ops {
	/* job_state - a peer asks; false if this node does not know. */
	bool (*job_state)(void *ctx, const char *id, enum job_state *state);
	/* advice_requested - the scheduler asks this node to ask the advisor; answered by
	 * links_reply_advice(). */
	void (*advice_requested)(void *ctx, uint64_t call, const char *step,
				 const char *const *runner, size_t n);
	/* advice_received - an answer of a node that was asked; answered is false if its link was
	 * lost. */
	void (*advice_received)(void *ctx, uint64_t call, bool answered,
				const struct ticket *ticket, size_t n, uint32_t validity_ms);
	/* append_requested - a peer asks to append a record; answered by links_reply_append(). */
	void (*append_requested)(void *ctx, struct peer *p, const Cell__AppendAsk *ask);
	/* order_received - the scheduler gives an order for a runner; answered by
	 * links_reply_order(). */
	void (*order_received)(void *ctx, const Kw__Envelope *e);
	/* order_replied - an answer to an order that this node gave. */
	void (*order_replied)(void *ctx, const Kw__Envelope *e);
	/* peer_lost - orders that were given to this peer get no answer. */
	void (*peer_lost)(void *ctx, const struct peer *p);
	/* connection_refused - the scheduler's host runs, but takes no links: its process has
	 * ended. */
	void (*connection_refused)(void *ctx);
	/* store_reachable - whether this node, as the scheduler, still reaches the store. */
	bool (*store_reachable)(void *ctx);
	/* peers_changed - the number of nodes that are linked to this one has changed. */
	void (*peers_changed)(void *ctx, uint32_t n);
};

/* links_create - cpu_milli: of this VM. */
struct links *links_create(const char *self, const char *dc, uint32_t cpu_milli,
			   const struct links_ops *ops, void *ctx);
void links_destroy(struct links *l);
/* links_listen - on ip and port; false with the reason in st. */
bool links_listen(struct links *l, const char *ip, uint16_t port, struct status *st);
/* links_set_scheduler - keeps a link to address ("IP:PORT"); "" for none. */
void links_set_scheduler(struct links *l, const char *address, uint64_t term);
/*
 * links_scheduler_silence_ms - how long the scheduler that is followed has not been heard of, or
 * has said that it doesn't reach the store; 0 if none is followed.
 */
int64_t links_scheduler_silence_ms(const struct links *l);
/* links_drop_peers - ends the links of the nodes that are linked to this one. */
void links_drop_peers(struct links *l);
/* STORE_OK, STORE_REFUSED, or STORE_UNKNOWN if the scheduler did not say. */
typedef void (*append_reply_fn)(void *ctx, enum store_result result);
/*
 * links_request_append - asks the scheduler to append a record; false if there is no link; else fn
 * is called, at the latest after timeout_ms.
 */
bool links_request_append(struct links *l, const char *key, const uint8_t *value, size_t size,
			  uint32_t timeout_ms, append_reply_fn fn, void *ctx);
/* links_reply_append - answer to a peer; p may be gone since. */
void links_reply_append(struct links *l, const struct peer *p, uint64_t call,
			enum store_result result);
/* links_request_state - false if there is no link; else fn is called, at the latest at the
 * time-out. */
bool links_request_state(struct links *l, const char *id, job_state_fn fn, void *ctx);
/*
 * links_request_advice - gives the question to the linked node with the least outstanding work,
 * unless that is own_us or more; false if there is none such. cost_us: how long the advisor takes.
 */
bool links_request_advice(struct links *l, uint64_t call, const char *step,
			  const char *const *runner, size_t n, uint64_t cost_us, uint64_t own_us);
/* links_reply_advice - answer to a question of the scheduler. */
void links_reply_advice(struct links *l, uint64_t call, bool answered, const struct ticket *ticket,
			size_t n, uint32_t validity_ms);

/*
 * links_pick_peer - a linked node for orders to a runner, those of its data centre first; the same
 * one each time while the links stay, the next one with each rank. NULL if no node is linked that
 * was heard of lately.
 */
struct peer *links_pick_peer(struct links *l, const char *dc, const char *runner, uint32_t rank);
/* links_peer_count - nodes that are linked to this one. */
uint32_t links_peer_count(const struct links *l);
/*
 * links_pick_successor - name of a linked node that may be the scheduler next, "" for none; valid
 * until the loop runs. The strongest VM; where nodes are restarted in turn, and VMs are alike, the
 * one that began last, which stays for longest.
 */
const char *links_pick_successor(const struct links *l);
/*
 * links_larger_peer - name of a linked node on a VM with a much stronger processor than this one,
 * NULL for none; valid until the loop runs.
 */
const char *links_larger_peer(const struct links *l);
/* links_send_order - false if the peer can't take it. */
bool links_send_order(struct peer *p, const Kw__Envelope *e);
/* links_reply_order - to the scheduler; dropped if the link is gone. */
void links_reply_order(struct links *l, const Kw__Envelope *e);

#endif
