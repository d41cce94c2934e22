#ifndef DAEMON_IDLE_SET_H
#define DAEMON_IDLE_SET_H

#include <stdbool.h>
#include <stdint.h>

#include <gio/gio.h>

/*
 * idle_set - sockets that wait for their next byte, in one poll_set.
 *
 * A socket leaves the set by its first event: bytes, its end, or the time that it may be idle. Each
 * belongs to one set at most.
 */
struct idle_set;

/* Called at the event, after the socket has left the set. data is handed over to the function. */
typedef void (*idle_event_fn)(void *ctx, GSocket *sock, void *data);

/*
 * idle_set_create - NULL with errno if no descriptor is left. free_data frees the data of sockets
 * that leave the set without an event.
 */
struct idle_set *idle_set_create(idle_event_fn on_idle_event, GDestroyNotify free_data, void *ctx);
/* idle_set_destroy - the sockets stay open. */
void idle_set_destroy(struct idle_set *s);
/*
 * idle_set_add - takes a reference to the socket, and the data; idle_ms must be the same for all
 * sockets of a set. Returns false with errno, and frees the data, if it can't be polled.
 */
bool idle_set_add(struct idle_set *s, GSocket *sock, uint32_t idle_ms, void *data);

#endif
