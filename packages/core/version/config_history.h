#ifndef CORE_CONFIG_HISTORY_H
#define CORE_CONFIG_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Decided records that are kept. */
enum { CONFIG_HISTORY_MAX = 512 };

/* Decision on a record. */
struct config_decision {
	uint64_t nonce;
	uint64_t version; /* at which it was accepted; 0 if it was rejected */
	char *author;
	char **removed_teams; /* NULL-terminated */
	char **removed_services;
	uint32_t code; /* enum status_code */
	char *winner;  /* author of the conflicting change, for a rejection; may be NULL */
	char *message; /* reason of a rejection; may be NULL */
};

/*
 * config_history - decisions on the last CONFIG_HISTORY_MAX records; immutable for its readers.
 *
 * Consecutive versions share one growing store; a version that branches off gets a copy.
 */
struct config_history;

struct config_history *config_history_create(void);
struct config_history *config_history_ref(struct config_history *h);
void config_history_unref(struct config_history *h);
/* config_decision_clear - frees the strings of d. */
void config_decision_clear(struct config_decision *d);
/* config_history_add - a copy of h with d appended. Takes ownership of d's strings. */
struct config_history *config_history_add(struct config_history *h,
					  const struct config_decision *d);
size_t config_history_count(const struct config_history *h);
/* config_history_at - decision by age; 0 is the oldest that is kept. */
const struct config_decision *config_history_at(const struct config_history *h, size_t i);
/* config_history_find_nonce - decision with that nonce, or NULL. A nonce of 0 is never found. */
const struct config_decision *config_history_find_nonce(const struct config_history *h,
							uint64_t nonce);
/* config_history_find_removal - newest decision that removed that name, or NULL. */
const struct config_decision *config_history_find_removal(const struct config_history *h,
							  bool is_team, const char *name);

#endif
