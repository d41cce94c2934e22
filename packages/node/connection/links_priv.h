#ifndef NODE_LINKS_PRIV_H
#define NODE_LINKS_PRIV_H

#include "link.h"
#include "links.h"

/*
 * Parts of links: links.c creates and listens, linkpeers.c holds the nodes that are linked to this
 * one, uplink.c the link to the scheduler.
 */

struct links {
	char *self;
	char *dc;
	uint32_t cpu_milli;
	const struct links_ops *ops;
	void *ctx;
	GSocketService *service;
	GPtrArray *peer;	/* of struct peer */
	GArray *advice_request; /* of struct advice_request, to peers */
	/* The link to the scheduler. */
	struct link *uplink;
	char *address;
	uint64_t term;
	bool dialling;
	GCancellable *dial;
	int64_t next_dial_ms;
	int64_t scheduler_heard_ms; /* of the scheduler that reaches the store */
	GArray *call;		    /* of struct uplink_call */
	uint64_t next_call;
	guint timer;
	int64_t last_tick_ms; /* last tick */
};

#define LINKS_HEARTBEAT_MS 150 /* a fifth of the time after which a node may take over */

extern const struct link_conf links_conf;

/* links_set_timeouts - ends the connection when its other side is out of reach. */
void links_set_timeouts(GSocketConnection *conn);

/* linkpeers_add - a node that has linked to this one. */
void linkpeers_add(struct links *l, GSocketConnection *conn);
/* linkpeers_create, linkpeers_destroy - the part of l that holds peers; each loss is told. */
void linkpeers_create(struct links *l);
void linkpeers_destroy(struct links *l);
/* linkpeers_extend_timeouts - silence of that length is not the peers'. */
void linkpeers_extend_timeouts(struct links *l, int64_t stalled_ms);
/* linkpeers_tick - sends beats, and ends questions without an answer or to silent nodes. */
void linkpeers_tick(struct links *l, int64_t now_ms);

void uplink_create(struct links *l);
void uplink_destroy(struct links *l);
/* uplink_tick - ends calls without an answer, and dials when it is time. */
void uplink_tick(struct links *l, int64_t now_ms);

#endif
