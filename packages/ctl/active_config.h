#ifndef CTL_ACTIVE_CONFIG_H
#define CTL_ACTIVE_CONFIG_H

#include <json-glib/json-glib.h>

#include "version/config.h"

/* active_config - the configuration in force, as a daemon reports it. */
struct active_config;

/* active_config_parse - parses the body of GET /v1/config. NULL, with st set, on error. */
struct active_config *active_config_parse(JsonNode *root, struct status *st);
/* active_config_empty - no teams and no services, for a check without a daemon. */
struct active_config *active_config_empty(void);
void active_config_destroy(struct active_config *config);
uint64_t active_config_version(const struct active_config *config);
/* active_config_nonce_version - version at which the queried nonce was accepted, 0 if it wasn't. */
uint64_t active_config_nonce_version(const struct active_config *config);
const struct config_team *active_config_team(const struct active_config *config, const char *name);
const char *active_config_team_author(const struct active_config *config, const char *name);
const struct config_service *active_config_service(const struct active_config *config,
						   const char *name);
/* active_config_names - sorted names of teams or services. Free the list but not the names. */
GList *active_config_names(const struct active_config *config, bool teams);

#endif
