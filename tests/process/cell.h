#ifndef CELL_H
#define CELL_H

#include <stdbool.h>
#include <stdint.h>

#include <gio/gio.h>

#include "check_records.h"
#include "reply.h"

/*
 * cell - a small cell of real processes: stand-ins of the platform and of each data centre's
 * workers, and daemons. All are children of the test and end with it.
 *
 * A failure to set the cell up ends the test with a message. Tests that fail leave the cell's
 * folder with logs and records, and its path is printed.
 */
struct cell;

#define CELL_TEAM    "squad"
#define CELL_REPEAT  "clips"   /* service of idempotent requests */
#define CELL_ONCE    "billing" /* service of non-idempotent requests */
#define CELL_BATCH   "track"   /* service of jobs whose tasks may be repeated */
#define CELL_DCS_MAX 3

struct cell_conf {
	unsigned int dcs;
	unsigned int daemons;	   /* in each data centre */
	unsigned int workers;	   /* in each data centre, for each service; one a rack */
	unsigned int slots;	   /* of a worker */
	const char *more_settings; /* lines of YAML, or NULL */
};

/* cell_create - starts all and waits until each daemon is ready. */
struct cell *cell_create(const struct cell_conf *conf);
/* cell_destroy - ends all; removes the folder if nothing was found and KW_KEEP_CELL is not set. */
void cell_destroy(struct cell *c);

/* cell_size - number of daemons; they are counted by data centre first. */
unsigned int cell_size(const struct cell *c);
const char *cell_daemon_name(const struct cell *c, unsigned int i);
/* cell_daemon_find - index of the daemon of that name. */
unsigned int cell_daemon_find(const struct cell *c, const char *name);
/* cell_daemon_peak_bytes - most memory that the daemon has had resident. */
int64_t cell_daemon_peak_bytes(const struct cell *c, unsigned int i);

void cell_daemon_signal(struct cell *c, unsigned int i, int signal);
/* cell_daemon_start - starts a daemon again that has ended. */
void cell_daemon_start(struct cell *c, unsigned int i);
/* cell_daemon_wait_end - waits until it has ended; its exit status, or -1 if by a signal. */
int cell_daemon_wait_end(struct cell *c, unsigned int i);
/* cell_wait_ready - waits until /readyz of a daemon answers 200. */
void cell_wait_ready(struct cell *c, unsigned int i);

/* cell_send - starts a call to a daemon. body may be NULL. Owned by the cell. */
struct reply *cell_send(struct cell *c, unsigned int i, const char *method, const char *path,
			const char *body, const struct reply_header *headers);
/* cell_request - starts a request for service of the team, with a deadline and maybe a key. */
struct reply *cell_request(struct cell *c, unsigned int i, const char *service, const char *body,
			   unsigned int deadline_ms, const char *key);
/* cell_call_count - number of calls sent so far. */
unsigned int cell_call_count(const struct cell *c);
/* cell_wait - waits for all replies; false if some are missing after wait_ms. */
bool cell_wait(struct cell *c, unsigned int wait_ms);
/* cell_sleep - runs the main loop for a while. */
void cell_sleep(struct cell *c, unsigned int wait_ms);
/* cell_wait_until - runs the main loop until fn holds; false if it doesn't within wait_ms. */
bool cell_wait_until(struct cell *c, bool (*fn)(struct cell *c, void *ctx), void *ctx,
		     unsigned int wait_ms);

/* cell_platform_fault, cell_worker_fault - set faults of the stand-ins, as JSON. */
void cell_platform_fault(struct cell *c, const char *json);
void cell_worker_fault(struct cell *c, unsigned int dc, const char *json);

/* cell_send_platform, cell_send_workers - start a call to a stand-in; path begins with a slash. */
struct reply *cell_send_platform(struct cell *c, const char *method, const char *path,
				 const char *body);
struct reply *cell_send_workers(struct cell *c, unsigned int dc, const char *method,
				const char *path, const char *body);

/* cell_records - the events so far; owned by the caller. */
struct records *cell_records(const struct cell *c);
/* cell_owner_of - daemon that holds the newest session with a worker. */
unsigned int cell_owner_of(struct cell *c, const char *worker);
/* cell_has_two_runs - true if the worker of that name runs two requests or more; for
 * cell_wait_until(). */
bool cell_has_two_runs(struct cell *c, void *worker);
/* cell_check - number of events against any check, each printed. */
unsigned int cell_check(struct cell *c, int64_t leaving_grace_us);

/* cell_send_bytes - as cell_send, with a binary body. */
struct reply *cell_send_bytes(struct cell *c, unsigned int i, const char *path, const uint8_t *data,
			      size_t size);
/* cell_record_path - file of the events of a data centre's workers; owned by the caller. */
char *cell_record_path(const struct cell *c, unsigned int dc);
/* cell_daemon_host - address on which a daemon listens and from which it calls the platform. */
const char *cell_daemon_host(const struct cell *c, unsigned int i);
/* cell_dcs - number of data centres. */
unsigned int cell_dcs(const struct cell *c);

#endif
