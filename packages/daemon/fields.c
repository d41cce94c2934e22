#include "fields.h"
#include "request/json_text.h"

void fields_add_text(JsonBuilder *b, const char *key, const char *value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_string_value(b, value);
}

void fields_add_number(JsonBuilder *b, const char *key, uint64_t value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_int_value(b, (gint64)value);
}

void fields_add_flag(JsonBuilder *b, const char *key, bool value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_boolean_value(b, value);
}

char *fields_end(JsonBuilder *b)
{
	g_autoptr(JsonNode) root = json_builder_get_root(b);

	return json_text_write(root);
}

const char *fields_text(JsonObject *o, const char *key)
{
	return json_object_get_string_member_with_default(o, key, "");
}

int64_t fields_number(JsonObject *o, const char *key)
{
	return json_object_get_int_member_with_default(o, key, 0);
}

bool fields_flag(JsonObject *o, const char *key)
{
	return json_object_get_boolean_member_with_default(o, key, FALSE);
}
