#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include "../process/http.h"
#include "../version/config_sync.h"
#include "forward.h"
#include "process/metrics.h"

/*
 * gateway - callers' requests over HTTP: validates and forwards them, and answers each once, with
 * its whole answer or with a problem document that tells the outcome of the request.
 */
struct gateway;

struct gateway_deps {
	struct forward_deps forward;
	const struct settings *set;
	struct config_sync *config_sync;
	struct members *members;
	struct metrics *metrics;
	struct http *http;
};

struct gateway *gateway_create(const struct gateway_deps *deps);
void gateway_destroy(struct gateway *g);
/* gateway_end_requests - answers the requests that wait, as at their deadlines. */
void gateway_end_requests(struct gateway *g);
/* gateway_open_count - number of requests whose answer isn't written yet. */
uint32_t gateway_open_count(const struct gateway *g);

#endif
