#ifndef DAEMON_ADMIN_H
#define DAEMON_ADMIN_H

#include "../version/config_sync.h"
#include "heartbeat.h"
#include "dispatch.h"
#include "http.h"
#include "process/metrics.h"

/* admin - HTTP interface for operators: status, explain, drain, metrics, liveness and readiness. */
struct admin;

struct admin_deps {
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct heartbeat *heartbeat;
	struct config_sync *config_sync;
	struct racks *racks;
	struct loadtable *loads;
	struct dispatch *dispatch;
	struct metrics *metrics;
	struct traffic *traffic;
	struct http *http;
	/* drain - starts the graceful shutdown of this daemon. */
	void (*drain)(void *ctx);
	void *drain_ctx;
};

struct admin *admin_create(const struct admin_deps *deps);
void admin_destroy(struct admin *a);
/* admin_set_draining - makes /readyz answer 503 from now on. */
void admin_set_draining(struct admin *a);

#endif
