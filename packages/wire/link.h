#ifndef WIRE_LINK_H
#define WIRE_LINK_H

#include <gio/gio.h>

#include "frame.h"

/*
 * link - one TCP connection to another daemon: reads frames, and writes them from a bounded queue.
 */
struct link;

struct link_ops {
	/* message - a frame came in; e is valid during the call. */
	void (*message)(void *ctx, struct link *l, const Kw__Envelope *e, uint32_t size_bytes);
	/* closed - called once, from the loop; the link must be destroyed afterwards. */
	void (*closed)(void *ctx, struct link *l, const char *reason);
};

struct link_conf {
	uint32_t frame_max_bytes;
	uint32_t queue_max_bytes;
};

/* link_create - takes a reference on conn and starts to read. */
struct link *link_create(GSocketConnection *conn, const struct link_conf *conf,
			 const struct link_ops *ops, void *ctx);
/* link_destroy - closes the connection; no callback follows. */
void link_destroy(struct link *l);
/*
 * link_send - queues a frame; returns its size, or 0 if the queue is full or the link is closed.
 * tag names the frame for link_unwritten(), 0 for none.
 */
uint32_t link_send(struct link *l, const Kw__Envelope *e, uint64_t tag);
/* link_unwritten - true if no byte of the frame with this tag was given to the socket. */
bool link_unwritten(const struct link *l, uint64_t tag);
/* link_queued_bytes - bytes that wait to be written. */
uint32_t link_queued_bytes(const struct link *l);

#endif
