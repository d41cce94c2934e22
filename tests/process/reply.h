#ifndef REPLY_H
#define REPLY_H

#include <stdbool.h>
#include <stdint.h>

#include <libsoup/soup.h>

/*
 * reply - one HTTP call and what came back, read as a stream and never held whole.
 *
 * The bytes are compared with the answer that the runner of the stand-in makes: the request id, a
 * new line, the echoed text, and letters by offset.
 */
#define REPLY_HEAD_BYTES 4096

struct reply {
	char head[REPLY_HEAD_BYTES + 1]; /* first bytes, with a zero behind them */
	char outcome[16];		 /* of a problem+json answer */
	char error[128];		 /* of the exchange */
	int64_t length_bytes;		 /* Content-Length, -1 if none */
	int64_t total_bytes;
	unsigned int status; /* 0: no answer */
	unsigned int retry_after_s;
	bool ended;
	bool filler_wrong;
};

struct reply_header {
	const char *name; /* NULL ends the list */
	const char *value;
};

/* reply_send - starts a call; ends when r->ended is set. Owned by the caller (g_free). */
struct reply *reply_send(SoupSession *session, const char *method, const char *url,
			 const char *body, const struct reply_header *headers);

/* reply_send_bytes - as reply_send, for a POST with a binary body. */
struct reply *reply_send_bytes(SoupSession *session, const char *url, GBytes *body);

/*
 * reply_is_complete - true if the answer is of status 200, has total_bytes as stated, and holds
 * just what the runner was told to echo. total_bytes below 0: as long as id and echo.
 */
bool reply_is_complete(const struct reply *r, const char *echo, int64_t total_bytes);

#endif
