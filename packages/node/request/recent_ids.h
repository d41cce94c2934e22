#ifndef NODE_RECENT_IDS_H
#define NODE_RECENT_IDS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * recent_ids - the set of job ids added in the last keep_ms; each is forgotten after at most twice
 * that time.
 */
struct recent_ids;

struct recent_ids *recent_ids_create(int64_t keep_ms);
void recent_ids_destroy(struct recent_ids *r);
void recent_ids_add(struct recent_ids *r, const char *id, int64_t now_ms);
bool recent_ids_contains(struct recent_ids *r, const char *id, int64_t now_ms);

#endif
