#ifndef CTL_ACTIVE_CONFIG_H
#define CTL_ACTIVE_CONFIG_H

#include <json-glib/json-glib.h>

#include "version/config.h"

/* active - the configuration in force as a daemon reports it. */
struct active_config;

/* active_config_parse - from the body of GET /v1/config; NULL with the reason in st. */
struct active_config *active_config_parse(JsonNode *root, struct status *st);
/* active_config_empty - with no team and no service, for a check without a daemon. */
struct active_config *active_config_empty(void);
void active_config_destroy(struct active_config *config);
uint64_t active_config_version(const struct active_config *config);
/* active_config_nonce_version - version at which the asked nonce was accepted, 0 if none. */
uint64_t active_config_nonce_version(const struct active_config *config);
const struct config_team *active_config_team(const struct active_config *config, const char *name);
const char *active_config_team_author(const struct active_config *config, const char *name);
const struct config_service *active_config_service(const struct active_config *config,
						   const char *name);
/* active_config_names - sorted names of the teams or the services; the caller frees the list alone.
 */
GList *active_config_names(const struct active_config *config, bool teams);

#endif
