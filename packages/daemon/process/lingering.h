#ifndef DAEMON_LINGERING_H
#define DAEMON_LINGERING_H

#include <stdint.h>

#include <gio/gio.h>

/*
 * lingering - connections that were answered before their request was read. Closing them at once
 * would reset them when the request arrives, by which the caller may lose the answer. What they
 * send is discarded until the caller closes them, or sends nothing for LINGER_S.
 */
struct lingering;

#define LINGER_S      1
#define LINGER_MIN_MS 20

/* lingering_create - at most max connections at a time; for a new one, the oldest is closed. */
struct lingering *lingering_create(uint32_t max);
/* lingering_destroy - closes all of them. */
void lingering_destroy(struct lingering *l);
/* lingering_add - the process won't send any more on the socket. Takes a reference to it. */
void lingering_add(struct lingering *l, GSocket *sock);
uint32_t lingering_count(const struct lingering *l);
/* lingering_wait_ms - time until the oldest has had LINGER_MIN_MS; 0 if there is room for one. */
uint32_t lingering_wait_ms(const struct lingering *l);

#endif
