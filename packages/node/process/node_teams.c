#include "node_priv.h"
#include "request/teams_view.h"

struct team_list {
	struct teams_view *view;
	const struct admit *admit;
};

static void add_capacity(void *ctx, const struct scheduler_pool *pool)
{
	resources_add(ctx, &pool->capacity);
}

static void add_team(void *ctx, const struct scheduler_team *team)
{
	const struct team_list *list = ctx;
	struct admit_rejections rejections = admit_rejections(list->admit, team->name);

	teams_view_add_team(list->view, team, &rejections);
}

char *node_teams_json(const struct node *n)
{
	const struct teams_view_node node = {
		.vm = n->conf.name,
		.queues = n->queues,
		.config_age_ms = n->config_confirmed_ms ? node_config_age_ms(n) : -1,
		.keys_usable =
			n->queues && access_is_confirmed(n->config_confirmed_ms,
							 n->conf.config_max_age_ms, node_now_ms()),
	};
	struct team_list list = { .view = teams_view_create(&node), .admit = n->admit };
	struct resources capacity = { 0 };
	char *json;

	if (n->scheduler) {
		scheduler_each_pool(n->scheduler, add_capacity, &capacity);
		teams_view_begin_teams(list.view, &capacity);
		scheduler_each_team(n->scheduler, add_team, &list);
	}
	json = teams_view_end(list.view);
	teams_view_destroy(list.view);
	return json;
}
