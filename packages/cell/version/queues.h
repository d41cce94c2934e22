#ifndef CELL_QUEUES_H
#define CELL_QUEUES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "version/teams.h"

/*
 * queues - one version of the configuration: the queues that jobs are submitted to, the pools of
 * runners that serve them, and the teams that own the jobs. Immutable once it is in use.
 */
struct queue {
	char *name;
	char *host;
	char *prefix;
	char *service;	   /* pool of runners */
	uint32_t priority; /* 0 comes first */
	uint32_t attempts_max;
	/* A job's objective: its estimated time * stretch_milli / 1000 + objective_ms. */
	uint32_t stretch_milli;
	uint32_t objective_ms;
	uint32_t timeout_ms;
	bool public_access;	       /* calls need no key */
	bool advised;		       /* the advisor has to approve each runner of a step */
	uint32_t advice_base_us;       /* base cost of a request to the advisor */
	uint32_t advice_per_runner_us; /* additional cost of each runner in it */
};

struct pool {
	char *name;
	bool enforces_capacity; /* its runners refuse tasks that exceed their capacity */
	bool standby;		/* its VMs are off */
};

struct queues;

struct queues *queues_create(uint64_t version);
void queues_destroy(struct queues *q);
uint64_t queues_version(const struct queues *q);
/* queues_add, queues_add_pool - add a copy; only before the version is in use. */
void queues_add(struct queues *q, const struct queue *queue);
void queues_add_pool(struct queues *q, const struct pool *pool);
/* queues_set_teams - takes ownership of t; only before the version is in use. */
void queues_set_teams(struct queues *q, struct teams *t);
/* queues_teams - NULL if the configuration has no teams, so that no call needs a key. */
const struct teams *queues_teams(const struct queues *q);
/*
 * queues_route - finds the queue by host and longest prefix of the path; NULL if there is none.
 * *rest is the path after the prefix.
 */
const struct queue *queues_route(const struct queues *q, const char *host, const char *path,
				 const char **rest);
const struct queue *queues_find(const struct queues *q, const char *name);
const struct pool *queues_pool(const struct queues *q, const char *name);

/* queues_more_urgent - true if a queue of the service has a higher priority (a lower number). */
bool queues_more_urgent(const struct queues *q, const char *service, uint32_t priority);

#endif
