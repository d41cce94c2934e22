#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <json-glib/json-glib.h>

#include "process/status.h"

/*
 * client - HTTP calls to the daemons of a cell.
 *
 * A call goes to the first daemon of the list that can be reached; the others are tried only while
 * the call has certainly not been sent, or when it only reads.
 */
struct client;

/* The answer to a call. Clear with reply_clear(). */
struct reply {
	unsigned int http_status;
	uint32_t retry_after_ms; /* 0 if not given */
	char *daemon;		 /* base URL that answered */
	JsonNode *json;		 /* body, NULL if it is not JSON */
	char *detail;		 /* of problem+json, or the reason phrase */
};

/* client_create - urls are base URLs such as http://127.0.0.1:8080; copied. */
struct client *client_create(const char *const *urls, size_t n, uint32_t timeout_ms);
void client_destroy(struct client *c);
const char *const *client_daemons(const struct client *c, size_t *n);

struct call {
	const char *method;
	const char *path; /* with its query */
	const char *content_type;
	const void *body;
	size_t size;
	const char *idempotency_key; /* Idempotency-Key, NULL for none */
};

/*
 * client_call - false if there is no answer: STATUS_UNAVAILABLE if no daemon can be reached and
 * nothing was sent, STATUS_UNKNOWN if the call was sent and the answer lost, STATUS_INVALID for a
 * bad URL. True for any answer, whatever its HTTP status.
 */
bool client_call(struct client *c, const struct call *call, struct reply *reply, struct status *st);
void reply_clear(struct reply *reply);
/* reply_ok - HTTP status 2xx. */
bool reply_ok(const struct reply *reply);

#endif
