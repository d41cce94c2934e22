#ifndef DAEMON_RACKS_H
#define DAEMON_RACKS_H

#include "../request/call.h"
#include "../request/run.h"
#include "fleet.h"
#include "process/metrics.h"
#include "process/loadtable.h"
#include "version/config.h"

/*
 * racks - the owner role: takes calls for requests and tasks, lets core decide where they run, and
 * carries the decisions out on the workers of the owned racks.
 */
struct racks;

struct racks_deps {
	const struct settings *set;
	struct members *members;
	struct calls *calls;
	struct worker_client *worker_client;
	struct runner_client *runner_client;
	const struct worker_ops *worker_ops;
	uint64_t seed;
};

struct racks *racks_create(const struct racks_deps *deps);
void racks_destroy(struct racks *r);

struct fleet *racks_fleet(struct racks *r);
/* racks_drain - sends back what waits and what comes: it was not run, and others may take it. */
void racks_drain(struct racks *r);
/* racks_on_change - fn is called when a worker got ready or ceased to be. */
void racks_on_change(struct racks *r, void (*fn)(void *ctx), void *ctx);
/* racks_config - takes weights and quotas of a new version; owners shares the quotas. */
void racks_config(struct racks *r, const struct config *c, uint32_t owners);
/* racks_list_load - free room by service; returns how many entries of room were filled. */
size_t racks_list_load(struct racks *r, struct service_load *load, size_t n);
/* racks_explain - why a task waits; false if it is not here. */
bool racks_explain(struct racks *r, const char *job, uint32_t index, char *buf, size_t size);

/* Counts of what is here, for status. */
struct racks_count {
	uint32_t workers;
	uint32_t unready;
	uint32_t waiting;
	uint32_t requests;
	uint32_t tasks;
};

void racks_count(const struct racks *r, struct racks_count *count);

#endif
