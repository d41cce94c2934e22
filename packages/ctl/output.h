#ifndef CTL_OUTPUT_H
#define CTL_OUTPUT_H

#include <stdio.h>

#include <json-glib/json-glib.h>

/* output - prints JSON from daemons in readable form. */

/* output_json - prints node as indented JSON and a newline. */
void output_json(JsonNode *node, FILE *out);
/*
 * output_object - prints the members of object that aren't arrays as lines, then each array of
 * objects as a table under its name. The columns are the members of the objects, in the order in
 * which they first appear.
 */
void output_object(JsonObject *object, FILE *out);
/*
 * output_table - prints the objects of array whose member key equals value as a table; all objects
 * if key is NULL. Returns the number of rows.
 */
size_t output_table(JsonArray *array, const char *key, const char *value, FILE *out);

#endif
