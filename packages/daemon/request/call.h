#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include "../connection/peers.h"
#include "process/types.h"

/*
 * call - one piece of work handed from an requester to a server, which may be in the same daemon or
 * at the other end of a link. The answer is a stream: at most one begin, then data under credit,
 * then exactly one end. The server starts with a window of its setting credit_bytes; the requester
 * gives back what it has consumed.
 *
 * The requester may not use its call after its end() was called or after call_cancel(). The server
 * may not use its call after call_end() or after its cancel() was called.
 */
struct calls;
struct call;

struct call_begin {
	const char *content_type;
	const char *worker;   /* on which the work started */
	int64_t length_bytes; /* of the whole answer, -1 if not known */
	uint32_t status;      /* HTTP status of the answer */
};

struct call_end {
	enum outcome outcome;
	uint32_t status; /* HTTP status that fits an outcome other than done */
	uint32_t retry_after_ms;
	uint64_t total_bytes;	  /* of data in the whole answer */
	uint32_t covered_workers; /* whose inventory is known; for a call with attach_only */
	char step[32];
	char peer[64];
	char message[256];
};

struct call_requester_ops {
	void (*begin)(void *ctx, const struct call_begin *b);
	void (*data)(void *ctx, GBytes *data);
	void (*end)(void *ctx, const struct call_end *e);
};

struct call_server_ops {
	/* credit - the requester takes so many more bytes of data. */
	void (*credit)(void *ctx, uint32_t bytes);
	/* cancel - the requester gave up, or (lost) the link to it is gone. */
	void (*cancel)(void *ctx, bool lost);
};

/* Takes a call of the kind that it was registered for; req is valid during the call. */
typedef void (*call_handler_fn)(void *ctx, struct call *c, const Kw__Call *req);

struct calls *calls_create(struct peers *peers, const char *self, uint64_t first_id);
void calls_destroy(struct calls *cs);
void calls_set_handler(struct calls *cs, Kw__CallKind kind, call_handler_fn fn, void *ctx);
/* calls_open_count - calls of other daemons and of this one that have not ended. */
size_t calls_open_count(const struct calls *cs);

/*
 * call_open - hands req to the daemon dest. Returns NULL if it can't be sent at all; then nothing
 * was sent. Neither ops function is called before call_open() returns. req->id is set.
 */
struct call *call_open(struct calls *cs, const char *dest, Kw__Call *req,
		       const struct call_requester_ops *ops, void *ctx);
void call_credit(struct call *c, uint32_t bytes);
void call_cancel(struct call *c);
/* call_detach - lets go of the call without a word to its server, which goes on. */
void call_detach(struct call *c);

void call_serve(struct call *c, const struct call_server_ops *ops, void *ctx);
void call_begin(struct call *c, const struct call_begin *b);
/* call_data - false if the link takes no more; the server then has to end the call as failed. */
bool call_data(struct call *c, GBytes *data);
void call_end(struct call *c, const struct call_end *e);
/* call_requester - name of the daemon that asks. */
const char *call_requester(const struct call *c);

/* call_request_copy - owned by the caller (kw__call__free_unpacked). */
Kw__Call *call_request_copy(const Kw__Call *req);

/* call_end_set - fills e and returns it, for call_end(). */
struct call_end *call_end_set(struct call_end *e, enum outcome outcome, uint32_t status,
			      const char *step, const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

#endif
