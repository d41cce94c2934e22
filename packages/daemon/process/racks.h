#ifndef DAEMON_RACKS_H
#define DAEMON_RACKS_H

#include "../request/call.h"
#include "../request/run.h"
#include "fleet.h"
#include "process/metrics.h"
#include "process/loadtable.h"
#include "version/config.h"

/*
 * racks - the owner role: takes calls with requests and tasks, lets core schedule them and applies
 * its decisions to the workers of the owned racks.
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
/* racks_drain - refuses waiting and new work as not run, so that other owners can take it. */
void racks_drain(struct racks *r);
/* racks_on_change - fn is called when a worker's state changes. */
void racks_on_change(struct racks *r, void (*fn)(void *ctx), void *ctx);
/*
 * racks_config - applies the weights and quotas of a new version. Each quota is divided by owners.
 */
void racks_config(struct racks *r, const struct config *c, uint32_t owners);
/* racks_list_load - load of each service. Returns the number of entries filled, at most n. */
size_t racks_list_load(struct racks *r, struct service_load *load, size_t n);
/* racks_explain - why a task waits. Returns false if this owner does not have it. */
bool racks_explain(struct racks *r, const char *job, uint32_t index, char *buf, size_t size);

/* Counts for status and metrics. */
struct racks_count {
	uint32_t workers;
	uint32_t unready;
	uint32_t waiting;
	uint32_t requests;
	uint32_t tasks;
};

void racks_count(const struct racks *r, struct racks_count *count);

#endif
