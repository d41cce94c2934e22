#ifndef DAEMON_RUN_H
#define DAEMON_RUN_H

#include <libsoup/soup.h>

#include "call.h"
#include "settings.h"

/*
 * run - runs one request on a worker's runner. The request is written at most once; the answer is
 * read as far as the requester's credit allows.
 */
struct run;
struct runner_client;

struct runner_client *runner_client_create(const struct settings *set, struct traffic *traffic);
void runner_client_destroy(struct runner_client *rc);

/*
 * run_start - sends req to the runner at url. may_start(ctx) is called right before the first byte
 * is written; if it returns false, the run ends with OUTCOME_NOT_RUN. ops->end is called exactly
 * once, from the main loop, unless the run is cancelled first. worker is the worker's name, for
 * errors.
 */
struct run *run_start(struct runner_client *rc, const char *url, const char *worker, uint64_t epoch,
		      const Kw__Call *req, bool (*may_start)(void *ctx),
		      const struct call_requester_ops *ops, void *ctx);
/* run_credit - allows this many more bytes of the answer to be read. */
void run_credit(struct run *r, uint32_t bytes);
/*
 * run_cancel - closes the connection and frees r; no callback follows. Returns true if part of the
 * request may have been written.
 */
bool run_cancel(struct run *r);

#endif
