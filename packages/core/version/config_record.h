#ifndef CORE_CONFIG_RECORD_H
#define CORE_CONFIG_RECORD_H

#include "config.pb-c.h"

#include "config.h"
#include "config_history.h"
#include "config_table.h"

/* config_record - conversion between encoded records of the log and the configuration. */

/*
 * config_decode_team, config_decode_service - false if a name is empty or too long or a value is
 * out of range.
 */
bool config_decode_team(const Kw__ConfigTeam *pb, struct config_team *team);
bool config_decode_service(const Kw__ConfigService *pb, struct config_service *service);

/* All state of a version, as stored in a snapshot. */
struct config_state {
	uint64_t version;
	uint64_t next_offset;
	struct config_table *teams;
	struct config_table *services;
	struct config_history *history;
};

/* config_state_encode - encodes a snapshot; the buffer is owned by the caller (g_free). */
uint8_t *config_state_encode(const struct config_state *state, size_t *size);
/*
 * config_state_decode - fills state with new references; false, with nothing to release, if pb is
 * malformed.
 */
bool config_state_decode(const Kw__ConfigSnapshot *pb, struct config_state *state);
void config_state_clear(struct config_state *state);

#endif
