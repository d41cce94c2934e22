#ifndef NODE_TEAMS_VIEW_H
#define NODE_TEAMS_VIEW_H

#include "process/scheduler.h"
#include "request/admit.h"

/*
 * teams_view - JSON for operators: the version of the configuration that a VM uses, and, if it
 * schedules, what each team has in the cell. It holds no keys, only their number.
 *
 * CPU is in cores, memory in GiB. A cap of null is no limit.
 */
struct teams_view;

struct teams_view_node {
	const char *vm;
	const struct queues *queues; /* in use; NULL for none yet */
	int64_t config_age_ms;	     /* since it was last confirmed; negative if it never was */
	bool keys_usable;	     /* calls with keys are served */
};

/* teams_view_create - node is not used after the call. */
struct teams_view *teams_view_create(const struct teams_view_node *node);
void teams_view_destroy(struct teams_view *v);
/* teams_view_begin_teams - the VM schedules; capacity of all pools, for the share of each team. */
void teams_view_begin_teams(struct teams_view *v, const struct resources *capacity);
/* teams_view_add_team - after teams_view_begin_teams(). */
void teams_view_add_team(struct teams_view *v, const struct scheduler_team *team,
			 const struct admit_rejections *rejections);
/* teams_view_end - completes the view and returns its JSON; the caller frees it with g_free(). */
char *teams_view_end(struct teams_view *v);

#endif
