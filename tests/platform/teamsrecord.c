#include <json-glib/json-glib.h>

#include "teamsrecord.h"

char *teams_record_key(uint32_t i)
{
	return g_strdup_printf("key-%016x", i * 2654435761U);
}

static void add_int(JsonBuilder *b, const char *name, int64_t value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_int_value(b, value);
}

static void add_team(JsonBuilder *b, uint32_t i, uint32_t keys_per_team)
{
	g_autofree char *name = g_strdup_printf("team-%05u", i);

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "name");
	json_builder_add_string_value(b, name);
	json_builder_set_member_name(b, "keys");
	json_builder_begin_array(b);
	for (uint32_t k = 0; k < keys_per_team; k++) {
		g_autofree char *key = teams_record_key(i * keys_per_team + k);

		json_builder_add_string_value(b, key);
	}
	json_builder_end_array(b);
	add_int(b, "weight", 4);
	json_builder_set_member_name(b, "cap");
	json_builder_begin_object(b);
	add_int(b, "cpu", 640000);
	add_int(b, "mem-mb", 2048000);
	add_int(b, "gpu", 16);
	json_builder_end_object(b);
	json_builder_end_object(b);
}

/* Only the teams: routes and pools don't depend on them. */
char *teams_record_create(uint32_t keys, uint32_t keys_per_team, gsize *size)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonGenerator) generator = json_generator_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	add_int(b, "version", 7);
	json_builder_set_member_name(b, "routes");
	json_builder_begin_array(b);
	json_builder_end_array(b);
	json_builder_set_member_name(b, "tenants");
	json_builder_begin_array(b);
	for (uint32_t i = 0; i < keys / keys_per_team; i++)
		add_team(b, i, keys_per_team);
	json_builder_end_array(b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	json_generator_set_root(generator, root);
	return json_generator_to_data(generator, size);
}
