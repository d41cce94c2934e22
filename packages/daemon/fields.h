#ifndef DAEMON_FIELDS_H
#define DAEMON_FIELDS_H

#include <stdbool.h>
#include <stdint.h>

#include <json-glib/json-glib.h>

/* fields - adds members to JSON objects and reads members that may be missing. */

void fields_add_text(JsonBuilder *b, const char *key, const char *value);
void fields_add_number(JsonBuilder *b, const char *key, uint64_t value);
void fields_add_flag(JsonBuilder *b, const char *key, bool value);
/* fields_end - text of the finished document, owned by the caller (g_free). */
char *fields_end(JsonBuilder *b);

/* fields_text - value of a string member, "" if it is missing; owned by o. */
const char *fields_text(JsonObject *o, const char *key);
/* fields_number - value of an integer member, 0 if it is missing. */
int64_t fields_number(JsonObject *o, const char *key);
/* fields_flag - value of a boolean member, false if it is missing. */
bool fields_flag(JsonObject *o, const char *key);

#endif
