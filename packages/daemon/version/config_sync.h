#ifndef DAEMON_CONFIG_SYNC_H
#define DAEMON_CONFIG_SYNC_H

#include "../connection/peers.h"
#include "../process/http.h"
#include "../process/platform.h"
#include "version/config.h"

/*
 * config_sync - keeps the current configuration: reads it from the log, exchanges records with
 * peers while the log can't be reached, and serves /v1/config.
 */
struct config_sync;

/* Called after the current version changed. next is valid during the call. */
typedef void (*config_sync_change_fn)(void *ctx, const struct config *next);

struct config_sync *config_sync_create(const struct settings *set, struct platform *platform,
				       struct peers *peers);
void config_sync_destroy(struct config_sync *c);
void config_sync_start(struct config_sync *c);
/* config_sync_current - the current version. Valid until the main loop runs again. */
const struct config *config_sync_current(const struct config_sync *c);
void config_sync_on_change(struct config_sync *c, config_sync_change_fn fn, void *ctx);
/* config_sync_log_reachable - whether the log answers. */
bool config_sync_log_reachable(const struct config_sync *c);
/*
 * config_sync_loaded - whether a whole configuration was read since the start, up to the end of the
 * log or to the last record of a peer. Before that, existing services may be unknown here.
 */
bool config_sync_loaded(const struct config_sync *c);
/* config_sync_peer_offset - handles the offset up to which a peer has read, from its heartbeat. */
void config_sync_peer_offset(struct config_sync *c, const char *peer, uint64_t next_offset);
/* config_sync_add_routes - serves GET and POST /v1/config. */
void config_sync_add_routes(struct config_sync *c, struct http *http);

#endif
