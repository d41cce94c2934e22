#ifndef DAEMON_HTTP_H
#define DAEMON_HTTP_H

#include <libsoup/soup.h>

#include "../request/call.h"
#include "settings.h"

/*
 * http - the HTTP server of a daemon: limits on connections, headers, bodies and slow callers, and
 * routes.
 */
struct http;

/* Takes a request whose body is whole. rest is what follows the route's prefix. */
typedef void (*http_route_fn)(void *ctx, SoupServerMessage *msg, const char *rest);

struct http *http_create(const struct settings *set);
void http_destroy(struct http *h);
bool http_listen(struct http *h, struct status *st);
/* http_drain - connections close after their answer from now on; new ones are still served. */
void http_drain(struct http *h);
/*
 * http_stop_listening - takes no new connections; to be called right before the end, since libsoup
 * goes on polling the closed socket.
 */
void http_stop_listening(struct http *h);
/* http_connection_count - connections that are open. */
uint32_t http_connection_count(struct http *h);

/* http_add_route - serves method on paths that start with prefix. */
void http_add_route(struct http *h, const char *method, const char *prefix, http_route_fn fn,
		    void *ctx);

/* http_query - value of a key of the query, NULL if it is missing; owned by the caller (g_free). */
char *http_query(SoupServerMessage *msg, const char *key);

/* http_reply_json - answers with a JSON text. */
void http_reply_json(SoupServerMessage *msg, uint32_t status, const char *text);
/*
 * http_reply_problem - answers with problem+json: outcome, step, peer, detail, and Retry-After if
 * e says when to come back.
 */
void http_reply_problem(SoupServerMessage *msg, const struct call_end *e);
/* http_abort - closes the connection so that the caller sees an answer that is not whole. */
void http_abort(SoupServerMessage *msg);

#endif
