#ifndef NODE_LINKS_PRIV_H
#define NODE_LINKS_PRIV_H

#include "link.h"
#include "links.h"

/*
 * Internals of links: links.c creates and listens, linkpeers.c serves the nodes that are linked to
 * this one, uplink.c keeps the link to the scheduler.
 */

struct links {
	char *self;
	char *dc;
	uint32_t cpu_milli;
	const struct links_ops *ops;
	void *ctx;
	GSocketListener *listener;
	GCancellable *accepting;
	guint accept_timer;	/* after a connection could not be accepted */
	uint64_t last_link;	/* number of the last link */
	GPtrArray *peer;	/* of struct peer */
	GArray *advice_request; /* of struct advice_request: sent to peers, not yet answered */
	struct link_budget received;
	struct link_budget queued;
	/* The link to the scheduler. */
	struct link *uplink;
	uint64_t uplink_number;
	char *address;
	uint64_t term;
	bool dialling;
	GCancellable *dial;
	int64_t next_dial_ms;
	int64_t scheduler_heard_ms; /* last heartbeat of a scheduler that reaches the store */
	GArray *call;		    /* of struct uplink_call */
	uint64_t next_call;
	guint timer;
	int64_t last_tick_ms;
};

/* A sixth of ELECTION_SILENT_LEASE_MS, after which another node may claim. */
#define LINKS_HEARTBEAT_MS 150

#define LINKS_FRAME_MAX_BYTES 1048576
#define LINKS_QUEUE_MAX_BYTES 4194304

/* links_set_timeouts - makes the kernel close the connection if the other side is unreachable. */
void links_set_timeouts(GSocketConnection *conn);

/* linkpeers_add - adds a node that has connected to this one. */
void linkpeers_add(struct links *l, GSocketConnection *conn);
void linkpeers_create(struct links *l);
/* linkpeers_destroy - drops all peers; peer_lost is called for each. */
void linkpeers_destroy(struct links *l);
/* linkpeers_extend_timeouts - discounts stalled_ms of silence that this process caused. */
void linkpeers_extend_timeouts(struct links *l, int64_t stalled_ms);
/*
 * linkpeers_tick - sends heartbeats and fails advice requests that timed out or whose peer is
 * silent.
 */
void linkpeers_tick(struct links *l, int64_t now_ms);

void uplink_create(struct links *l);
void uplink_destroy(struct links *l);
/* uplink_tick - fails calls that timed out, and reconnects when due. */
void uplink_tick(struct links *l, int64_t now_ms);

#endif
