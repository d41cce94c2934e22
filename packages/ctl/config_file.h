#ifndef CTL_CONFIG_FILE_H
#define CTL_CONFIG_FILE_H

#include "diagnostics.h"
#include "schema.h"

/* source - one YAML file with the places of its keys, checked against its schema. */
struct config_file;

/*
 * config_file_load - reads and checks path; every mistake goes to diags. NULL if it can't be read
 * or is not a mapping. The values are there only if the file had no mistake.
 */
struct config_file *config_file_load(const char *path, const struct schema *schema,
				     struct diagnostics *diags);
void config_file_destroy(struct config_file *cf);
const char *config_file_path(const struct config_file *cf);
const struct schema *config_file_schema(const struct config_file *cf);
/* config_file_values - struct service_file or struct team_file. A wrong value is zero, as a missing
 * one.
 */
const void *config_file_values(const struct config_file *cf);
/* config_file_has_key - true if key is given. */
bool config_file_has_key(const struct config_file *cf, const char *key);
/* config_file_key_valid - true if key is given with a value that can be used. */
bool config_file_key_valid(const struct config_file *cf, const char *key);
/* config_file_position - place of the value of key, or of the first key if key is not given. */
struct position config_file_position(const struct config_file *cf, const char *key);
/* config_file_name - name that the file gives to its service or team, as far as it can be read, or
 * NULL. */
const char *config_file_name(const struct config_file *cf);

#endif
