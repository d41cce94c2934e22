#ifndef CELL_TEAMS_H
#define CELL_TEAMS_H

#include <stddef.h>
#include <stdint.h>

#include "request/resources.h"

/*
 * teams - the teams of one version of the configuration, and the keys by which their calls are
 * recognised.
 *
 * A key is found by its hash, in a time that doesn't grow with the number of teams and keys.
 */
struct teams;

struct team {
	const char *name;
	uint32_t weight;      /* share when capacity is short, and jobs a second it may count on */
	struct resources cap; /* what it may have running in the cell; a zero field is no limit */
};

struct teams *teams_create(void);
void teams_destroy(struct teams *t);
/* teams_add - adds a copy of the team and its keys. A key that another team has keeps its owner. */
void teams_add(struct teams *t, const struct team *team, const char *const *key, size_t n_keys);
/* teams_by_key - the team that has the key, NULL if none has. */
const struct team *teams_by_key(const struct teams *t, const char *key);
/* teams_find - NULL if there is no team of that name. */
const struct team *teams_find(const struct teams *t, const char *name);
size_t teams_count(const struct teams *t);
/* teams_at - in the order in which they were added. */
const struct team *teams_at(const struct teams *t, size_t i);
size_t teams_key_count(const struct teams *t);

#endif
