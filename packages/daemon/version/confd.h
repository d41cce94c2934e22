#ifndef DAEMON_CONFD_H
#define DAEMON_CONFD_H

#include "../connection/peers.h"
#include "../process/http.h"
#include "../process/platform.h"
#include "version/config.h"

/*
 * confd - keeps the configuration in force: reads the log, passes records between daemons where the
 * log can't be reached, and takes what operators publish.
 */
struct confd;

/* Called after a new version came into force; next is valid during the call. */
typedef void (*confd_change_fn)(void *ctx, const struct config *next);

struct confd *confd_create(const struct settings *set, struct platform *platform,
			   struct peers *peers);
void confd_destroy(struct confd *c);
void confd_start(struct confd *c);
/* confd_current - the version in force; valid until the loop runs again. */
const struct config *confd_current(const struct confd *c);
void confd_on_change(struct confd *c, confd_change_fn fn, void *ctx);
/* confd_log_reachable - whether the log answers. */
bool confd_log_reachable(const struct confd *c);
/*
 * confd_loaded - whether a configuration was read whole since the start: up to the end of the log
 * or all that a peer had. Before that, services that exist are not known here.
 */
bool confd_loaded(const struct confd *c);
/* confd_peer_offset - a peer's heartbeat says up to where it has read. */
void confd_peer_offset(struct confd *c, const char *peer, uint64_t next_offset);
/* confd_add_routes - serves GET and POST /v1/config. */
void confd_add_routes(struct confd *c, struct http *http);

#endif
