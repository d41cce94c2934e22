#ifndef DAEMON_CONFD_H
#define DAEMON_CONFD_H

#include "../connection/peers.h"
#include "../process/http.h"
#include "../process/platform.h"
#include "version/config.h"

/*
 * confd - keeps the current configuration: reads it from the log, exchanges records with peers
 * while the log can't be reached, and serves /v1/config.
 */
struct confd;

/* Called after the current version changed. next is valid during the call. */
typedef void (*confd_change_fn)(void *ctx, const struct config *next);

struct confd *confd_create(const struct settings *set, struct platform *platform,
			   struct peers *peers);
void confd_destroy(struct confd *c);
void confd_start(struct confd *c);
/* confd_current - the current version. Valid until the main loop runs again. */
const struct config *confd_current(const struct confd *c);
void confd_on_change(struct confd *c, confd_change_fn fn, void *ctx);
/* confd_log_reachable - whether the log answers. */
bool confd_log_reachable(const struct confd *c);
/*
 * confd_loaded - whether a whole configuration was read since the start, up to the end of the log
 * or to the last record of a peer. Before that, existing services may be unknown here.
 */
bool confd_loaded(const struct confd *c);
/* confd_peer_offset - handles the offset up to which a peer has read, from its heartbeat. */
void confd_peer_offset(struct confd *c, const char *peer, uint64_t next_offset);
/* confd_add_routes - serves GET and POST /v1/config. */
void confd_add_routes(struct confd *c, struct http *http);

#endif
