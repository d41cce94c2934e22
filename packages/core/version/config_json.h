#ifndef CORE_CONFIG_JSON_H
#define CORE_CONFIG_JSON_H

#include <json-glib/json-glib.h>

#include "config.h"

/*
 * config_json_add - adds the members version, next_offset, teams and services of c to the object
 * that is open in b. Amounts have their unit in the name; each team and service has its version and
 * author.
 */
void config_json_add(JsonBuilder *b, const struct config *c);

/*
 * config_json_read_team, config_json_read_service - the inverse for one element of teams or
 * services. author is a buffer of size bytes. False if a required string is missing or the class is
 * unknown.
 */
bool config_json_read_team(JsonObject *object, struct config_team *team, char *author, size_t size);
bool config_json_read_service(JsonObject *object, struct config_service *service);

#endif
