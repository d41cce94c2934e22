#ifndef CELL_H
#define CELL_H

#include <stdbool.h>
#include <stdint.h>

#include <gio/gio.h>

#include "check_records.h"
#include "reply.h"

/*
 * cell - a small cell of real processes: fakes of the platform and of each data centre's workers,
 * and daemons. All are children of the test and end with it.
 *
 * A failure to set the cell up fails the test. A failed test leaves the cell's folder with logs and
 * records, and its path is printed.
 */
struct cell;

#define CELL_TEAM    "squad"
#define CELL_REPEAT  "clips"   /* service with idempotent requests */
#define CELL_ONCE    "billing" /* service with non-idempotent requests */
#define CELL_BATCH   "track"   /* service with jobs of idempotent tasks */
#define CELL_DCS_MAX 3

struct cell_conf {
	unsigned int dcs;
	unsigned int daemons;	   /* in each data centre */
	unsigned int workers;	   /* in each data centre, for each service; one a rack */
	unsigned int slots;	   /* of each worker */
	const char *more_settings; /* lines of YAML for each daemon, or NULL */
};

/* cell_create - starts all processes and waits until each daemon is ready. */
struct cell *cell_create(const struct cell_conf *conf);
/*
 * cell_destroy - kills all processes. Removes the folder unless a check failed or KW_KEEP_CELL is
 * set.
 */
void cell_destroy(struct cell *c);

/* cell_size - number of daemons. Indexes run through the first data centre, then the next. */
unsigned int cell_size(const struct cell *c);
const char *cell_daemon_name(const struct cell *c, unsigned int i);
/* cell_daemon_find - index of the daemon with that name. */
unsigned int cell_daemon_find(const struct cell *c, const char *name);
/* cell_daemon_peak_bytes - peak resident memory of the daemon, -1 if unknown. */
int64_t cell_daemon_peak_bytes(const struct cell *c, unsigned int i);

void cell_daemon_signal(struct cell *c, unsigned int i, int signal);
/* cell_daemon_start - restarts a daemon that has ended. */
void cell_daemon_start(struct cell *c, unsigned int i);
/* cell_daemon_wait_end - waits for its end. Returns the exit status, -1 if a signal ended it. */
int cell_daemon_wait_end(struct cell *c, unsigned int i);
/* cell_wait_ready - waits until /readyz of a daemon answers 200. */
void cell_wait_ready(struct cell *c, unsigned int i);

/* cell_send - sends a request to a daemon. body may be NULL. The reply is owned by the cell. */
struct reply *cell_send(struct cell *c, unsigned int i, const char *method, const char *path,
			const char *body, const struct reply_header *headers);
/* cell_request - sends a request for a service of CELL_TEAM; key may be NULL. */
struct reply *cell_request(struct cell *c, unsigned int i, const char *service, const char *body,
			   unsigned int deadline_ms, const char *key);
/* cell_call_count - number of HTTP requests sent so far. */
unsigned int cell_call_count(const struct cell *c);
/* cell_wait - waits for all replies; false if some are missing after wait_ms. */
bool cell_wait(struct cell *c, unsigned int wait_ms);
/* cell_sleep - runs the main loop for wait_ms. */
void cell_sleep(struct cell *c, unsigned int wait_ms);
/* cell_wait_until - runs the main loop until fn() is true; false if it is not within wait_ms. */
bool cell_wait_until(struct cell *c, bool (*fn)(struct cell *c, void *ctx), void *ctx,
		     unsigned int wait_ms);

/* cell_platform_fault, cell_worker_fault - set faults of the fakes, as JSON. */
void cell_platform_fault(struct cell *c, const char *json);
void cell_worker_fault(struct cell *c, unsigned int dc, const char *json);

/* cell_send_platform, cell_send_workers - send a request to a fake; path begins with a slash. */
struct reply *cell_send_platform(struct cell *c, const char *method, const char *path,
				 const char *body);
struct reply *cell_send_workers(struct cell *c, unsigned int dc, const char *method,
				const char *path, const char *body);

/* cell_records - the events recorded so far; owned by the caller (records_destroy). */
struct records *cell_records(const struct cell *c);
/* cell_owner_of - index of the daemon that opened the latest session with a worker. */
unsigned int cell_owner_of(struct cell *c, const char *worker);
/* cell_has_two_runs - for cell_wait_until(): the named worker runs at least two requests. */
bool cell_has_two_runs(struct cell *c, void *worker);
/* cell_check - number of events that violate any check so far. Each is printed. */
unsigned int cell_check(struct cell *c, int64_t leaving_grace_us);

/* cell_send_bytes - as cell_send(), a POST with a binary body. */
struct reply *cell_send_bytes(struct cell *c, unsigned int i, const char *path, const uint8_t *data,
			      size_t size);
/* cell_record_path - file with the events of a data centre's workers; owned by the caller. */
char *cell_record_path(const struct cell *c, unsigned int dc);
/* cell_daemon_host - address on which a daemon listens and from which it calls the platform. */
const char *cell_daemon_host(const struct cell *c, unsigned int i);
/* cell_dcs - number of data centres. */
unsigned int cell_dcs(const struct cell *c);

#endif
