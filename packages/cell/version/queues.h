#ifndef CELL_QUEUES_H
#define CELL_QUEUES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * queues - one version of the configuration: the queues that jobs are handed in to, and the pools
 * of runners that serve them. Immutable once it is in force.
 */
struct queue {
	char *name;
	char *host;
	char *prefix;
	char *service;	   /* pool of runners */
	uint32_t priority; /* 0 comes first */
	uint32_t attempts_max;
	uint32_t stretch_milli;
	uint32_t objective_ms;
	uint32_t timeout_ms;
	bool advised;		       /* the advisor has to approve each runner of a step */
	uint32_t advice_base_us;       /* of the advisor, for one call */
	uint32_t advice_per_runner_us; /* of the advisor, for each runner named */
};

struct pool {
	char *name;
	bool enforces_capacity; /* its runners refuse what does not fit */
	bool standby;		/* its VMs are off */
};

struct queues;

struct queues *queues_create(uint64_t version);
void queues_destroy(struct queues *q);
uint64_t queues_version(const struct queues *q);
/* queues_add, queues_add_pool - copy what they are given; to be called before the version is used.
 */
void queues_add(struct queues *q, const struct queue *queue);
void queues_add_pool(struct queues *q, const struct pool *pool);
/*
 * queues_route - queue of a call by host and the longest prefix of its path, NULL if there is none.
 * *rest is what follows the prefix.
 */
const struct queue *queues_route(const struct queues *q, const char *host, const char *path,
				 const char **rest);
const struct queue *queues_find(const struct queues *q, const char *name);
const struct pool *queues_pool(const struct queues *q, const char *name);

/* queues_more_urgent - some queue of the service has a higher priority, that is a lower number. */
bool queues_more_urgent(const struct queues *q, const char *service, uint32_t priority);

#endif
