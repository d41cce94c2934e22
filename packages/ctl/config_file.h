#ifndef CTL_CONFIG_FILE_H
#define CTL_CONFIG_FILE_H

#include "diagnostics.h"
#include "schema.h"

/* config_file - one YAML file, checked against its schema, with the positions of its keys. */
struct config_file;

/*
 * config_file_load - reads path and checks it against schema. Adds every error to diags. NULL if
 * the file can't be read or parsed or isn't a mapping. A key with an error keeps its position but
 * no value.
 */
struct config_file *config_file_load(const char *path, const struct schema *schema,
				     struct diagnostics *diags);
void config_file_destroy(struct config_file *cf);
const char *config_file_path(const struct config_file *cf);
const struct schema *config_file_schema(const struct config_file *cf);
/*
 * config_file_values - a struct service_file or struct team_file, by the schema. Missing and
 * invalid values are zero.
 */
const void *config_file_values(const struct config_file *cf);
/* config_file_has_key - true if key is present, valid or not. */
bool config_file_has_key(const struct config_file *cf, const char *key);
/* config_file_key_valid - true if key is present and its value matches the schema. */
bool config_file_key_valid(const struct config_file *cf, const char *key);
/* config_file_position - where the value of key is, or the first key if key is missing. */
struct position config_file_position(const struct config_file *cf, const char *key);
/* config_file_name - the service's or team's name as written, valid or not; NULL if missing. */
const char *config_file_name(const struct config_file *cf);

#endif
