#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stddef.h>

#include "../process/status.h"
#include "../process/types.h"

/*
 * config - one version of the configuration: teams and services.
 *
 * A config is immutable once built and is reference-counted. config_apply() builds its successor as
 * a copy. A record of the log changes services and teams and states, for each, the version at which
 * its author last saw it. A record with a stale base version for any of them is rejected, the same
 * way by every reader. A record is accepted as a whole or not at all. It is also rejected if it
 * leaves a service that it changes without its team, or removes a team that still owns a service.
 */
struct config;

enum idempotency { IDEMPOTENT = 0, NON_IDEMPOTENT };

struct config_team {
	char name[64];
	char home_dc[32];
	uint32_t weight;
	struct res quota; /* zero fields: no limit */
	uint64_t version; /* of the record that last changed it */
};

struct config_service {
	char name[64];
	char team[64];	 /* team that owns the service */
	char author[64]; /* of the record that last changed it */
	enum work_class class;
	enum idempotency idempotency;
	struct res size;
	uint32_t count;	      /* tasks kept running, for WORK_SERVICE */
	uint32_t run_ms;      /* declared run time of a request or task */
	uint32_t deadline_ms; /* default deadline of a request */
	uint32_t answer_max_bytes;
	bool preemptible;
	bool throttleable;
	uint64_t version; /* of the record that last changed it */
};

/* config_empty - version 0, without teams and services. */
struct config *config_empty(void);
struct config *config_ref(struct config *c);
void config_unref(struct config *c);
/* config_version - number of records accepted so far. */
uint64_t config_version(const struct config *c);
/* config_next_offset - log offset of the next record to apply. */
uint64_t config_next_offset(const struct config *c);

/*
 * config_apply - the version after the record at offset, as a new reference. If the record is
 * rejected or can't be decoded, the result differs from c only in its offset (and a rejection is
 * remembered) and st has the reason. STATUS_CONFLICT names the author of the conflicting change in
 * the message and as peer. An offset below config_next_offset() changes nothing. A record whose
 * nonce was already decided only advances the offset, with the same status as the first time.
 *
 * Offsets are contiguous: one above config_next_offset() is STATUS_LOST and changes nothing, unless
 * the record is a snapshot. A snapshot is installed only if it is newer than c. The next record to
 * apply is then at config_next_offset(), which may be below offset.
 */
struct config *config_apply(struct config *c, uint64_t offset, const uint8_t *data, size_t size,
			    struct status *st);

/*
 * config_install - the version in a snapshot from a peer, or a new reference to c if the snapshot
 * is not newer. Continue to read at config_next_offset().
 */
struct config *config_install(struct config *c, const uint8_t *data, size_t size,
			      struct status *st);

/*
 * config_nonce_version - version at which the record with that nonce was accepted; 0 if it isn't
 * among the last 512 decided records.
 */
uint64_t config_nonce_version(const struct config *c, uint64_t nonce);

const struct config_team *config_team(const struct config *c, const char *name);
const struct config_service *config_service(const struct config *c, const char *name);
/* config_team_at, config_service_at - by index in order of name; NULL past the end. */
const struct config_team *config_team_at(const struct config *c, size_t i);
const struct config_service *config_service_at(const struct config *c, size_t i);
/* config_team_author - author of the record that last changed a team; NULL if there is none. */
const char *config_team_author(const struct config *c, const char *name);
/*
 * config_team_index, config_service_index - index in order of name, stable for the life of this
 * version; UINT32_MAX if there is no such item.
 */
uint32_t config_team_index(const struct config *c, const char *name);
uint32_t config_service_index(const struct config *c, const char *name);

/* One change of a record. base_version is that at which the author last saw the item, 0 for new. */
struct config_change {
	bool is_team;
	bool remove;
	uint64_t base_version;
	struct config_team team;
	struct config_service service;
};

/*
 * config_encode_record - encodes a record; the buffer is owned by the caller (g_free). The nonce
 * distinguishes an append that is repeated because its answer was lost from another author's
 * record.
 */
uint8_t *config_encode_record(const char *author, uint64_t nonce,
			      const struct config_change *change, size_t n, size_t *size);
/* config_record_nonce - nonce of an encoded record, 0 if it can't be decoded or is a snapshot. */
uint64_t config_record_nonce(const uint8_t *data, size_t size);
/* config_encode_snapshot - one record with all of c; the buffer is owned by the caller (g_free). */
uint8_t *config_encode_snapshot(const struct config *c, size_t *size);

#endif
