#ifndef NODE_LINKS_H
#define NODE_LINKS_H

#include <gio/gio.h>

#include "kw.pb-c.h"
#include "ports.h"
#include "process/status.h"

/*
 * links - framed TCP connections between the scheduler and the other nodes. Each node keeps one
 * link to the scheduler and uses it to query job states and to append records; the scheduler uses
 * it to send orders for runners and requests for advice.
 *
 * Each process numbers its calls by itself, so a reply is valid only on the link on which the call
 * came, and each counts from another number. Links are identified by numbers that are not reused.
 */
struct links;
struct peer;

/*
 * Anyone can connect, so a connection is a peer only once it has sent a LinkHello; until then it
 * may send nothing else. Of several unidentified connections too many, the oldest is closed.
 */
#define LINKS_MAX		 512
#define LINKS_UNIDENTIFIED_MAX	 256
#define LINKS_HELLO_MAX_BYTES	 4096
#define LINKS_HELLO_TIMEOUT_MS	 2000
#define LINKS_SILENT_MAX_MS	 30000	  /* a peer that returns no heartbeat is disconnected */
#define LINKS_RECEIVED_MAX_BYTES 16777216 /* of unfinished frames of all links */
#define LINKS_QUEUED_MAX_BYTES	 25165824 /* to all links */
#define LINKS_KEY_MAX_BYTES	 64	  /* of a record that a peer asks to append */

/* Three lost heartbeats of 150 ms, and the round trip between regions, which takes 24 ms. */
#define LINKS_HEARTBEAT_TIMEOUT_MS 500

/* state may be shown to callers; known is false if the other side does not schedule the job. */
typedef void (*job_state_fn)(void *ctx, bool known, enum job_state state);

struct links_ops {
	/* job_state - a peer queries the state of a job; returns false if it is not known here. */
	bool (*job_state)(void *ctx, const char *id, enum job_state *state);
	/* advice_requested - the scheduler requests advice; answer by links_reply_advice(). */
	void (*advice_requested)(void *ctx, uint64_t link, uint64_t call, const char *step,
				 const char *const *runner, size_t n);
	/*
	 * advice_received - reply of a node; answered is false if there is none or its link was
	 * lost.
	 */
	void (*advice_received)(void *ctx, uint64_t call, bool answered,
				const struct ticket *ticket, size_t n, uint32_t validity_ms);
	/* append_requested - a peer requests an append; answer by links_reply_append(). */
	void (*append_requested)(void *ctx, uint64_t link, const Cell__AppendAsk *ask);
	/* order_received - an order for a runner; answer by links_reply_order(). */
	void (*order_received)(void *ctx, uint64_t link, const Kw__Envelope *e);
	/* order_replied - the peer's reply to an order. */
	void (*order_replied)(void *ctx, const struct peer *p, const Kw__Envelope *e);
	/* peer_lost - orders that were sent to this peer will not be answered. */
	void (*peer_lost)(void *ctx, const struct peer *p);
	/* connection_refused - the scheduler's host is up but its process has exited. */
	void (*connection_refused)(void *ctx);
	/* store_reachable - whether this node, as the scheduler, still reaches the store. */
	bool (*store_reachable)(void *ctx);
	/* peer_named - the process name (NODE/START) has linked to this one. */
	void (*peer_named)(void *ctx, const char *name);
	/* peers_changed - n nodes are now linked to this one. */
	void (*peers_changed)(void *ctx, uint32_t n);
};

/* links_create - cpu_milli: CPU capacity of this VM in thousandths of a core. */
struct links *links_create(const char *self, const char *dc, uint32_t cpu_milli,
			   const struct links_ops *ops, void *ctx);
void links_destroy(struct links *l);
/*
 * links_first_call - a random number to count calls from. Nodes of earlier releases answer a call
 * on another link than that on which it came, so the number has to be unknown to other processes.
 */
uint64_t links_first_call(void);
/* links_listen - false with the reason in st, and may be called again then. */
bool links_listen(struct links *l, const char *ip, uint16_t port, struct status *st);
/* links_set_scheduler - keeps a link to address ("IP:PORT"), or to none if it is "". */
void links_set_scheduler(struct links *l, const char *address, uint64_t term);
/*
 * links_scheduler_silence_ms - time since the scheduler last sent a heartbeat that says that it
 * reaches the store; 0 if no scheduler is set.
 */
int64_t links_scheduler_silence_ms(const struct links *l);
/* links_drop_peers - closes the links of all nodes that are linked to this one. */
void links_drop_peers(struct links *l);
/*
 * result is STORE_OK, STORE_REFUSED, or STORE_UNKNOWN if the scheduler did not answer. With
 * STORE_REFUSED, retry_after_ms is not 0 if the scheduler rejects the job: it must not be stored.
 */
typedef void (*append_reply_fn)(void *ctx, enum store_result result, uint32_t retry_after_ms);
/*
 * links_request_append - asks the scheduler to append a record. Returns false if there is no link;
 * otherwise fn is called after at most timeout_ms.
 */
bool links_request_append(struct links *l, const char *key, const uint8_t *value, size_t size,
			  uint32_t timeout_ms, append_reply_fn fn, void *ctx);
/* links_reply_append - answers a peer; dropped if that link is gone. */
void links_reply_append(struct links *l, uint64_t link, uint64_t call, enum store_result result);
/* links_reply_rejected - answers a peer that the job is not accepted and nothing was stored. */
void links_reply_rejected(struct links *l, uint64_t link, uint64_t call, uint32_t retry_after_ms);
/*
 * links_request_state - asks the scheduler for the state of a job. Returns false if there is no
 * link; otherwise fn is called, at the latest on a timeout.
 */
bool links_request_state(struct links *l, const char *id, job_state_fn fn, void *ctx);
/*
 * links_request_advice - sends a request to the linked node with the least outstanding work.
 * Returns false if no node has less of it than own_load_us, the work of this node if it sent the
 * request itself. cost_us: estimated time that the advisor takes for the request.
 */
bool links_request_advice(struct links *l, uint64_t call, const char *step,
			  const char *const *runner, size_t n, uint64_t cost_us,
			  uint64_t own_load_us);
/* links_reply_advice - answers a request of the scheduler; dropped if that link is gone. */
void links_reply_advice(struct links *l, uint64_t link, uint64_t call, bool answered,
			const struct ticket *ticket, size_t n, uint32_t validity_ms);

/*
 * links_pick_peer - picks a linked node to carry orders to a runner, preferring the runner's data
 * centre. The choice is stable while the links stay; each higher rank picks another node. Returns
 * NULL if no linked node has been heard from within the heartbeat timeout.
 */
struct peer *links_pick_peer(struct links *l, const char *dc, const char *runner, uint32_t rank);
/* links_peer_count - number of nodes that are linked to this one and have said who they are. */
uint32_t links_peer_count(const struct links *l);
/*
 * links_pick_successor - name of the linked node that should schedule next, "" for none; valid
 * until the loop runs. Prefers the VM with the most CPU, and among equals the process that started
 * last: in a rolling restart it is the one that stays up longest.
 */
const char *links_pick_successor(const struct links *l);
/*
 * links_larger_peer - name of a linked node whose VM has much more CPU than this one, NULL for
 * none; valid until the loop runs.
 */
const char *links_larger_peer(const struct links *l);
/*
 * links_peer_clock_ms - what the peer's monotonic clock shows at at_ms of this node's, or less by
 * the transit time of its fastest recent message; 0 if the peer doesn't send its clock.
 */
int64_t links_peer_clock_ms(const struct peer *p, int64_t at_ms);
/*
 * links_send_order - returns false if the message could not be queued. The peer stays linked if
 * only the frames to all peers together are too many.
 */
bool links_send_order(struct peer *p, const Kw__Envelope *e);
/* links_reply_order - answers the scheduler; dropped if that link is gone. */
void links_reply_order(struct links *l, uint64_t link, const Kw__Envelope *e);

#endif
