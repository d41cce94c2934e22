#ifndef DAEMON_RUN_H
#define DAEMON_RUN_H

#include <libsoup/soup.h>

#include "call.h"
#include "settings.h"

/*
 * run - one request on a worker's runner: the start is written once, the answer is read under
 * credit.
 */
struct run;
struct runner_client;

struct runner_client *runner_client_create(const struct settings *set, struct traffic *traffic);
void runner_client_destroy(struct runner_client *rc);

/*
 * run_start - writes the request of req to the runner at url. may_start(ctx) is asked right before
 * the first byte is written; if it says no, the run ends with outcome not_run. ops->end is called
 * exactly once, from the loop, unless the run is cancelled before. worker names it in errors.
 */
struct run *run_start(struct runner_client *rc, const char *url, const char *worker, uint64_t epoch,
		      const Kw__Call *req, bool (*may_start)(void *ctx),
		      const struct call_requester_ops *ops, void *ctx);
void run_credit(struct run *r, uint32_t bytes);
/*
 * run_cancel - closes the connection; no callback follows and r may not be used any more. Returns
 * true if the start may have been written.
 */
bool run_cancel(struct run *r);

#endif
