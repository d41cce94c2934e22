#ifndef CORE_CONFIG_HISTORY_H
#define CORE_CONFIG_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Decided records that are remembered. */
enum { CONFIG_HISTORY_MAX = 512 };

/* What became of a record. */
struct config_decision {
	uint64_t nonce;
	uint64_t version; /* at which it was accepted, 0 if it was rejected */
	char *author;
	char **removed_teams; /* NULL-terminated */
	char **removed_services;
	uint32_t code; /* enum status_code */
	char *winner;  /* of a rejection, may be NULL as message */
	char *message;
};

/*
 * history - the last CONFIG_HISTORY_MAX decided records, immutable to its readers.
 *
 * Versions in sequence share one growing store; a version that branches off gets a copy.
 */
struct config_history;

struct config_history *config_history_create(void);
struct config_history *config_history_ref(struct config_history *h);
void config_history_unref(struct config_history *h);
/* config_decision_clear - frees its strings. */
void config_decision_clear(struct config_decision *d);
/* config_history_add - h with one more record at its end. Takes d's strings. */
struct config_history *config_history_add(struct config_history *h,
					  const struct config_decision *d);
size_t config_history_count(const struct config_history *h);
/* config_history_at - by age, 0 is the oldest that is remembered. */
const struct config_decision *config_history_at(const struct config_history *h, size_t i);
/* config_history_find_nonce - the record of that nonce, or NULL. A nonce of 0 is never found. */
const struct config_decision *config_history_find_nonce(const struct config_history *h,
							uint64_t nonce);
/* config_history_find_removal - the newest record that removed that name, or NULL. */
const struct config_decision *config_history_find_removal(const struct config_history *h,
							  bool is_team, const char *name);

#endif
