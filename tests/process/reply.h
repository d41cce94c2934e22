#ifndef REPLY_H
#define REPLY_H

#include <stdbool.h>
#include <stdint.h>

#include <libsoup/soup.h>

/*
 * reply - the reply to one HTTP request, read as a stream and not kept in memory.
 *
 * The body is compared with the one that the fake runner sends: the request id, a newline, the
 * echoed text, and filler letters by offset.
 */
#define REPLY_HEAD_BYTES 4096

struct reply {
	char head[REPLY_HEAD_BYTES + 1]; /* first bytes, NUL-terminated */
	char outcome[16];		 /* from a problem+json body */
	char error[128];		 /* transport error */
	int64_t length_bytes;		 /* Content-Length, -1 if none */
	int64_t total_bytes;
	unsigned int status; /* 0 if no reply came */
	unsigned int retry_after_s;
	bool ended;
	bool filler_wrong;
};

struct reply_header {
	const char *name; /* NULL in the last element */
	const char *value;
};

/*
 * reply_send - sends a request. r->ended is set when it is finished. Owned by the caller (g_free).
 */
struct reply *reply_send(SoupSession *session, const char *method, const char *url,
			 const char *body, const struct reply_header *headers);

/* reply_send_bytes - as reply_send(), a POST with a binary body. */
struct reply *reply_send_bytes(SoupSession *session, const char *url, GBytes *body);

/*
 * reply_is_complete - true if the status is 200, the body has total_bytes, and it is what the
 * runner was told to send. A total_bytes below 0 stands for the length of id and echo.
 */
bool reply_is_complete(const struct reply *r, const char *echo, int64_t total_bytes);

#endif
