#ifndef CTL_SOURCE_H
#define CTL_SOURCE_H

#include "diagnostics.h"
#include "schema.h"

/* source - one YAML file with the places of its keys, checked against its schema. */
struct source;

/*
 * source_load - reads and checks path; every mistake goes to diags. NULL if it can't be read or is
 * not a mapping. The values are there only if the file had no mistake.
 */
struct source *source_load(const char *path, const struct schema *schema,
			   struct diagnostics *diags);
void source_destroy(struct source *src);
const char *source_path(const struct source *src);
const struct schema *source_schema(const struct source *src);
/* source_values - struct service_file or struct team_file. A wrong value is zero, as a missing one.
 */
const void *source_values(const struct source *src);
/* source_has - true if key is given. */
bool source_has(const struct source *src, const char *key);
/* source_valid - true if key is given with a value that can be used. */
bool source_valid(const struct source *src, const char *key);
/* source_position - place of the value of key, or of the first key if key is not given. */
struct position source_position(const struct source *src, const char *key);
/* source_name - name that the file gives to its service or team, as far as it can be read, or
 * NULL. */
const char *source_name(const struct source *src);

#endif
