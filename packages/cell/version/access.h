#ifndef CELL_ACCESS_H
#define CELL_ACCESS_H

#include "version/queues.h"

/*
 * access - decides whether a call may be served, from its queue, its key and the age of the
 * configuration.
 *
 * A withdrawn key must stop working everywhere within a fixed time, also on a node that has lost
 * the store. So a node accepts keys only while it knows that its configuration was current less
 * than that time ago.
 */
enum access_result {
	ACCESS_OK = 0,
	ACCESS_UNKNOWN_KEY,  /* no key, or one that no team has */
	ACCESS_STALE_CONFIG, /* the key may have been withdrawn since the configuration was read */
};

/* Times are milliseconds of a clock that counts suspension. */
struct access_request {
	const struct queues *queues;
	const struct queue *queue;
	const char *key;      /* NULL for none */
	int64_t confirmed_ms; /* the configuration was current then */
	int64_t now_ms;
	uint32_t max_age_ms; /* 0: of any age */
};

/* access_check - on ACCESS_OK, *team is the caller's team, NULL if the call needs no key. */
enum access_result access_check(const struct access_request *req, const struct team **team);

/* access_is_confirmed - whether a configuration confirmed at confirmed_ms may be used for keys. */
bool access_is_confirmed(int64_t confirmed_ms, uint32_t max_age_ms, int64_t now_ms);

#endif
