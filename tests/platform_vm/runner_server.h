#ifndef TESTS_VM_RUNNER_SERVER_H
#define TESTS_VM_RUNNER_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "run_record.h"
#include "store_server.h"

/*
 * runner_server - stand-in of a runner in the test process: runs tasks, holds leases, lists ends
 * and reports itself to the store, served by the default main context. What a task does
 * is said by its spec: "MS" works for so many milliseconds, "fills MS" too, "fails MS" ends as
 * failed then, and "lasts TAIL MIXED" goes on and reports these tail latencies, MIXED while a task
 * that fills is on the runner. A body with a control character
 * is refused, as JSON allows none.
 */
struct runner_server;

enum runner_mode {
	RUNNER_SOUND,
	RUNNER_AT_ONCE, /* a look doesn't wait for an end */
	RUNNER_SLOW,	/* each call is carried out late */
	RUNNER_SILENT,	/* no call is carried out; they end when the mode changes */
	RUNNER_ODD,	/* lists have further rows that make no sense */
	RUNNER_MODES,
};

struct runner_conf {
	const char *id;
	const char *service;
	const char *zone;
	const char *ip;
	uint32_t cpu_milli;
	uint32_t mem_mib;
	const char *label; /* NULL for "a" */
	struct store_server *store;
	struct run_record *record; /* shared by all runners; NULL for none */
};

/*
 * runner_server_create - listens on a free port and writes its entry. What conf points to
 * has to outlive the result, except for id.
 */
struct runner_server *runner_server_create(const struct runner_conf *conf);
void runner_server_destroy(struct runner_server *r);
/* runner_server_restart - all that runs is lost; a new incarnation has the same id and address. */
void runner_server_restart(struct runner_server *r);
/* runner_server_set_mode - how calls are served from now on; late_ms: for RUNNER_SLOW. */
void runner_server_set_mode(struct runner_server *r, enum runner_mode mode, uint32_t late_ms);
/* runner_server_last_spec - of the last start, NULL for none; owned by r. */
const char *runner_server_last_spec(const struct runner_server *r);
/* runner_server_starts - starts so far, of all incarnations. */
uint32_t runner_server_starts(const struct runner_server *r);

#endif
