#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <json-glib/json-glib.h>

#include "process/status.h"

/*
 * client - HTTP calls to the daemons of a cell.
 *
 * A call goes to the first reachable daemon of the list. After a failure, the next daemon is tried
 * only if the request was not sent or is a GET; anything else might run twice.
 */
struct client;

/* The HTTP response to a call, of any status. Clear with reply_clear(). */
struct reply {
	unsigned int http_status;
	uint32_t retry_after_ms; /* from Retry-After, 0 if absent */
	char *daemon;		 /* base URL of the daemon that replied */
	JsonNode *json;		 /* body, NULL if it is not JSON */
	char *detail;		 /* detail or title of problem+json, or the reason phrase */
};

/* client_create - urls are base URLs such as http://127.0.0.1:8080; they are copied. */
struct client *client_create(const char *const *urls, size_t n, uint32_t timeout_ms);
void client_destroy(struct client *c);
/* client_daemons - the n base URLs, owned by c. */
const char *const *client_daemons(const struct client *c, size_t *n);

struct call {
	const char *method;
	const char *path; /* including the query */
	const char *content_type;
	const void *body;
	size_t size;
	const char *idempotency_key; /* Idempotency-Key, NULL for none */
};

/*
 * client_call - true if a daemon replied, with any HTTP status. Otherwise false, with a code in st
 * (may be NULL): STATUS_UNAVAILABLE if no daemon replied and the call had no effect,
 * STATUS_UNKNOWN if the request was sent and the response was lost, STATUS_INVALID for a bad
 * URL or no daemon.
 */
bool client_call(struct client *c, const struct call *call, struct reply *reply, struct status *st);
/* client_call_daemon - as client_call(), but only to the daemon with index i. */
bool client_call_daemon(struct client *c, size_t i, const struct call *call, struct reply *reply,
			struct status *st);
void reply_clear(struct reply *reply);
/* reply_ok - true for HTTP status 2xx. */
bool reply_ok(const struct reply *reply);

#endif
