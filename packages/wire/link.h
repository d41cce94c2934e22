#ifndef WIRE_LINK_H
#define WIRE_LINK_H

#include <gio/gio.h>

#include "frame.h"

/*
 * link - TCP connection to another daemon: reads frames, and writes frames from a bounded queue.
 */
struct link;

struct link_ops {
	/* message - called for each received frame; e is valid during the call. */
	void (*message)(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size_bytes);
	/*
	 * closed - called once from the main loop when the connection failed or ended, never from
	 * within link_send(). The link has to be destroyed then.
	 */
	void (*closed)(void *ctx, struct link *l, const char *reason);
};

/* Memory of several links: of frames that are not complete yet, or in their queues. */
struct link_budget {
	uint64_t bytes;
	uint64_t max_bytes;
};

/* Bytes that a link may hold although the budget is used up. */
#define LINK_FAIR_BYTES 16384

/* Of the budget of queued bytes, for link_offer(). */
#define LINK_OFFER_PERCENT 90

struct link_conf {
	uint32_t frame_max_bytes; /* without the header */
	uint32_t queue_max_bytes; /* for Call and Chunk; control frames may use twice that */
	/*
	 * Budgets of received and of queued bytes; NULL for none. They are in use until
	 * link_destroy(). A link that exceeds the first one fails, a frame that exceeds the second
	 * is not sent.
	 */
	struct link_budget *received;
	struct link_budget *queued;
};

/* link_create - takes a reference on conn and starts to read. */
struct link *link_create(GSocketConnection *conn, const struct link_conf *conf,
			 const struct link_ops *ops, void *ctx);
/* link_destroy - closes the connection; no callback follows. */
void link_destroy(struct link *l);
/*
 * link_send - queues a frame; returns its size, or 0 if the frame is too large, the queue is full
 * or the link is closed. tag identifies the frame for link_unwritten(), 0 for none.
 */
uint32_t link_send(struct link *l, const Kw__Envelope *e, uint64_t tag);
/*
 * link_offer - as link_send(), but the frame may use only LINK_OFFER_PERCENT of the budget of
 * queued bytes, so that offers don't block the frames of link_send(), and one that doesn't fit in
 * there is refused with 0 and leaves the link open.
 */
uint32_t link_offer(struct link *l, const Kw__Envelope *e, uint64_t tag);
/* link_set_frame_max - changes frame_max_bytes. */
void link_set_frame_max(struct link *l, uint32_t bytes);
/* link_unwritten - true if no byte of the frame with this tag was passed to the socket. */
bool link_unwritten(const struct link *l, uint64_t tag);
/* link_queued_bytes - bytes in the queue, with the frame that is being written. */
uint32_t link_queued_bytes(const struct link *l);

#endif
