#include <string.h>

#include "active_config.h"
#include "version/config_json.h"

#define STEP "config"

struct entry {
	char author[64];
	union {
		struct config_team team;
		struct config_service service;
	};
};

struct active_config {
	uint64_t version;
	uint64_t nonce_version;
	GHashTable *teams;
	GHashTable *services;
};

struct active_config *active_config_empty(void)
{
	struct active_config *config = g_new0(struct active_config, 1);

	config->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	config->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return config;
}

static bool read_entry(struct active_config *config, JsonNode *node, bool is_team)
{
	struct entry *e = g_new0(struct entry, 1);
	bool ok = false;

	if (JSON_NODE_HOLDS_OBJECT(node)) {
		JsonObject *object = json_node_get_object(node);

		ok = is_team ? config_json_read_team(object, &e->team, e->author, sizeof(e->author))
			     : config_json_read_service(object, &e->service);
	}
	if (!ok) {
		g_free(e);
		return false;
	}
	if (is_team)
		g_hash_table_insert(config->teams, g_strdup(e->team.name), e);
	else
		g_hash_table_insert(config->services, g_strdup(e->service.name), e);
	return true;
}

static bool read_list(struct active_config *config, JsonObject *object, const char *key,
		      bool is_team)
{
	JsonNode *node = json_object_get_member(object, key);
	JsonArray *array;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++)
		if (!read_entry(config, json_array_get_element(array, i), is_team))
			return false;
	return true;
}

struct active_config *active_config_parse(JsonNode *root, struct status *st)
{
	struct active_config *config = active_config_empty();
	JsonObject *object;

	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		object = json_node_get_object(root);
		config->version =
			(uint64_t)json_object_get_int_member_with_default(object, "version", 0);
		config->nonce_version = (uint64_t)json_object_get_int_member_with_default(
			object, "nonce_version", 0);
		if (read_list(config, object, "teams", true) &&
		    read_list(config, object, "services", false))
			return config;
	}
	active_config_destroy(config);
	status_set(st, STATUS_INTERNAL, STEP, "", "cannot parse the configuration in force");
	return NULL;
}

void active_config_destroy(struct active_config *config)
{
	if (!config)
		return;
	g_hash_table_unref(config->teams);
	g_hash_table_unref(config->services);
	g_free(config);
}

uint64_t active_config_version(const struct active_config *config)
{
	return config->version;
}

uint64_t active_config_nonce_version(const struct active_config *config)
{
	return config->nonce_version;
}

const struct config_team *active_config_team(const struct active_config *config, const char *name)
{
	const struct entry *e = g_hash_table_lookup(config->teams, name);

	return e ? &e->team : NULL;
}

const char *active_config_team_author(const struct active_config *config, const char *name)
{
	const struct entry *e = g_hash_table_lookup(config->teams, name);

	return e ? e->author : NULL;
}

const struct config_service *active_config_service(const struct active_config *config,
						   const char *name)
{
	const struct entry *e = g_hash_table_lookup(config->services, name);

	return e ? &e->service : NULL;
}

GList *active_config_names(const struct active_config *config, bool teams)
{
	GList *names = g_hash_table_get_keys(teams ? config->teams : config->services);

	return g_list_sort(names, (GCompareFunc)strcmp);
}
