#ifndef CORE_CONFIG_RECORD_H
#define CORE_CONFIG_RECORD_H

#include "config.pb-c.h"

#include "config.h"
#include "config_history.h"
#include "config_table.h"

/* record - conversion between the encoded records of the log and the structures of core. */

/* config_decode_team, config_decode_service - false if a name is empty or too long or a value is
 * out of range. */
bool config_decode_team(const Kw__ConfigTeam *pb, struct config_team *team);
bool config_decode_service(const Kw__ConfigService *pb, struct config_service *service);

/* The state that a snapshot holds. */
struct config_state {
	uint64_t version;
	uint64_t next_offset;
	struct config_table *teams;
	struct config_table *services;
	struct config_history *history;
};

/* config_state_encode - buffer owned by the caller (g_free). */
uint8_t *config_state_encode(const struct config_state *state, size_t *size);
/* config_state_decode - fills state with new references; false, and nothing to release, if pb is
 * not well-formed. */
bool config_state_decode(const Kw__ConfigSnapshot *pb, struct config_state *state);
void config_state_clear(struct config_state *state);

#endif
