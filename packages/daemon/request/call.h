#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include "../connection/peers.h"
#include "process/types.h"

/*
 * call - request from one daemon (the requester) to another or itself (the server), answered by a
 * stream: at most one begin, then data as far as the requester's credit allows, then exactly one
 * end.
 *
 * The server starts with credit for credit_bytes of its settings; the requester grants more as it
 * consumes data.
 *
 * The requester must not use a call after its end() was called or after call_cancel() or
 * call_detach(). The server must not use it after call_end() or after its cancel() was called.
 */
struct calls;
struct call;

struct call_begin {
	const char *content_type;
	const char *worker;   /* that runs the work */
	int64_t length_bytes; /* of the whole answer, -1 if unknown */
	uint32_t status;      /* HTTP status of the answer */
};

struct call_end {
	enum outcome outcome;
	uint32_t status; /* HTTP status for an outcome other than OUTCOME_DONE */
	uint32_t retry_after_ms;
	uint64_t total_bytes;	  /* data of the whole answer */
	uint32_t covered_workers; /* workers with a known inventory; for attach_only calls */
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
	/* credit - the requester accepts this many more bytes of data. */
	void (*credit)(void *ctx, uint32_t bytes);
	/* cancel - the requester cancelled, or the link to it closed (lost). */
	void (*cancel)(void *ctx, bool lost);
};

/* Serves a call of the kind that it is registered for. req is valid until it returns. */
typedef void (*call_handler_fn)(void *ctx, struct call *c, const Kw__Call *req);

/* calls_create - ids of calls count up from first_id. */
struct calls *calls_create(struct peers *peers, const char *self, uint64_t first_id);
void calls_destroy(struct calls *cs);
/* calls_set_handler - sets the function that serves calls of a kind. */
void calls_set_handler(struct calls *cs, Kw__CallKind kind, call_handler_fn fn, void *ctx);
/* calls_open_count - number of calls, sent and served, that have not ended. */
size_t calls_open_count(const struct calls *cs);

/*
 * call_open - sends req to the daemon dest and sets req->id. NULL if there is no link to dest or it
 * can't queue the call; then nothing was sent. No function of ops is called before call_open()
 * returns.
 */
struct call *call_open(struct calls *cs, const char *dest, Kw__Call *req,
		       const struct call_requester_ops *ops, void *ctx);
/* call_credit - allows the server to send this many more bytes. */
void call_credit(struct call *c, uint32_t bytes);
/* call_cancel - cancels the call; no callback follows. */
void call_cancel(struct call *c);
/* call_detach - drops the requester's end; the server isn't told and goes on. */
void call_detach(struct call *c);

/* call_serve - sets the callbacks of the server's end. */
void call_serve(struct call *c, const struct call_server_ops *ops, void *ctx);
void call_begin(struct call *c, const struct call_begin *b);
/* call_data - false if the link's queue is full; the server must then end the call as failed. */
bool call_data(struct call *c, GBytes *data);
void call_end(struct call *c, const struct call_end *e);
/* call_requester - name of the requester's daemon. */
const char *call_requester(const struct call *c);

/* call_request_copy - copy of req, owned by the caller (kw__call__free_unpacked). */
Kw__Call *call_request_copy(const Kw__Call *req);

/* call_end_set - fills e and returns it, for call_end(). */
struct call_end *call_end_set(struct call_end *e, enum outcome outcome, uint32_t status,
			      const char *step, const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

#endif
