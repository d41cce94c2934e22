#ifndef DAEMON_HTTP_H
#define DAEMON_HTTP_H

#include <libsoup/soup.h>

#include "../request/call.h"
#include "settings.h"

/*
 * http - HTTP server of the daemon: routes, and limits on connections, headers, bodies and slow
 * callers.
 */
struct http;

/*
 * Handles a request whose body was received completely. rest is the path after the prefix of the
 * route.
 */
typedef void (*http_route_fn)(void *ctx, SoupServerMessage *msg, const char *rest);

/* Requests and connections that were refused, by cause, since the server was created. */
struct http_refusals {
	uint64_t bodies_over_budget;	 /* answered with 503 */
	uint64_t bodies_late;		 /* answered with 408 */
	uint64_t connections_over_limit; /* answered with 503 if that could be sent at once */
	uint64_t connections_evicted;	 /* idle ones, for new ones at the limit */
	uint64_t headers_evicted;	 /* unfinished headers, for newer ones at the limit */
	uint64_t headers_late;	 /* connections closed as the headers weren't whole in time */
	uint64_t accepts_failed; /* no descriptor was left, or another error */
};

struct http *http_create(const struct settings *set);
void http_destroy(struct http *h);
/*
 * http_set_body_limits - bounds the bytes of all bodies that are held at a time (a request over it
 * gets 503) and the time from a request's headers to the end of its body (408). To be called before
 * http_listen(). Without it the bytes aren't bounded, and a request that isn't whole after idle_ms
 * is cut off without an answer.
 */
void http_set_body_limits(struct http *h, uint64_t budget_bytes, uint32_t timeout_ms);
/*
 * http_set_header_budget - bounds the bytes of headers that aren't whole: at the limit, the
 * connection that has been sending them for longest is closed for a new one. They also have to be
 * whole 3 s after their first byte. To be called before http_listen(). Without it they aren't
 * bounded and have idle_ms.
 */
void http_set_header_budget(struct http *h, uint64_t budget_bytes);
/* http_get_refusals - what the limits have refused so far. */
void http_get_refusals(const struct http *h, struct http_refusals *r);
/* http_listen - false with the reason in st; does nothing if it listens already. */
bool http_listen(struct http *h, struct status *st);
/* http_drain - closes each connection after its next answer. New connections are still accepted. */
void http_drain(struct http *h);
/* http_stop_listening - accepts the connections that wait for it, and then no more. */
void http_stop_listening(struct http *h);
/*
 * http_close_idle - closes each connection that has been without a request for min_idle_ms. Returns
 * the number of the others: those on which a request is received or answered, or has arrived, and
 * those that are idle for a shorter time.
 */
uint32_t http_close_idle(struct http *h, uint32_t min_idle_ms);
/* http_answering_count - number of whole requests whose answers aren't written yet. */
uint32_t http_answering_count(struct http *h);
/* http_connection_count - number of open connections, with refused ones that are not closed yet. */
uint32_t http_connection_count(struct http *h);

/* http_add_route - serves method on paths that start with prefix. */
void http_add_route(struct http *h, const char *method, const char *prefix, http_route_fn fn,
		    void *ctx);

/* http_query - value of a query parameter, NULL if missing. Owned by the caller (g_free). */
char *http_query(SoupServerMessage *msg, const char *key);

/* http_reply_json - answers with a JSON text. */
void http_reply_json(SoupServerMessage *msg, uint32_t status, const char *text);
/*
 * http_reply_problem - answers with problem+json: outcome, step, peer and detail, and Retry-After
 * if e->retry_after_ms is set.
 */
void http_reply_problem(SoupServerMessage *msg, const struct call_end *e);
/* http_abort - closes the connection, so that the caller sees an incomplete answer. */
void http_abort(SoupServerMessage *msg);

#endif
