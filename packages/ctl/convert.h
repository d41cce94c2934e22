#ifndef CTL_CONVERT_H
#define CTL_CONVERT_H

#include "schema.h"
#include "version/config.h"

enum {
	DEFAULT_WEIGHT = 10,
	DEFAULT_DEADLINE_MS = 10000,
	DEFAULT_ANSWER_MAX_BYTES = 64 << 20,
};

/* convert_team, convert_service - convert a loaded file to configuration and fill in defaults. */
void convert_team(const struct team_file *file, struct config_team *team);
void convert_service(const struct service_file *file, struct config_service *service);

#endif
