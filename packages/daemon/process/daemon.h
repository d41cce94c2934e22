#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "settings.h"

/* daemon - creates all modules of the daemon on an entry VM and runs them on one main loop. */
struct daemon;

/*
 * daemon_create - opens the listening sockets. Returns NULL with the reason in st. set has to
 * outlive the daemon.
 */
struct daemon *daemon_create(const struct settings *set, struct status *st);
void daemon_destroy(struct daemon *d);
/* daemon_run - serves until a graceful shutdown has finished. Returns the exit status. */
int daemon_run(struct daemon *d);
/*
 * daemon_drain - starts a graceful shutdown: takes no new work, hands the racks over, answers the
 * requests in flight and then ends daemon_run(), at the latest after the setting drain_ms.
 */
void daemon_drain(struct daemon *d);

#endif
