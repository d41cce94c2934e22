#ifndef DAEMON_WORKER_H
#define DAEMON_WORKER_H

#include <gio/gio.h>

#include "process/traffic.h"
#include "process/types.h"
#include "settings.h"

/*
 * worker - operations of an owner on a worker, as a table of function pointers, and its
 * implementation over the platform's HTTP interface.
 */
struct worker_client;

enum worker_result {
	WORKER_OK = 0,
	WORKER_NEWER_EPOCH, /* another owner has a newer epoch, given in epoch */
	WORKER_LAPSED,	    /* the lease expired; the session must be reopened */
	WORKER_NOT_SENT,    /* no byte was written */
	WORKER_NO_ANSWER,   /* written, but no valid answer was received */
};

/* One task in a message to or from a worker. */
struct worker_task {
	const char *id;
	const char *job;
	const char *team;
	const char *service;
	const char *reason; /* of a refusal or an end */
	struct res size;    /* declared, or measured in a usage report */
	enum work_class class;
	uint32_t index;
	uint32_t attempt;
	uint32_t run_ms;
	int32_t exit;
	bool ended;
	bool accepted;
};

/* Reply of a worker, valid until the reply function returns. */
struct worker_reply {
	enum worker_result result;
	uint64_t epoch;
	uint64_t seq;
	uint32_t runs; /* requests running on the worker's runner, from any owner */
	bool leaving;
	const struct worker_task *task; /* inventory, ended tasks or results of starts */
	size_t n_task;
	const struct worker_task *usage;
	size_t n_usage;
	const char *error; /* "" if an answer was received */
};

typedef void (*worker_reply_fn)(void *ctx, const struct worker_reply *r);

struct worker_ops {
	void (*open)(struct worker_client *wc, const char *url, const char *owner, uint64_t epoch,
		     worker_reply_fn fn, void *ctx);
	/*
	 * renew - acknowledges the ended tasks up to seq ack. The worker may delay its answer by up
	 * to wait_ms.
	 */
	void (*renew)(struct worker_client *wc, const char *url, uint64_t epoch, uint64_t ack,
		      uint32_t wait_ms, worker_reply_fn fn, void *ctx);
	void (*start)(struct worker_client *wc, const char *url, uint64_t epoch,
		      const struct worker_task *task, size_t n, worker_reply_fn fn, void *ctx);
	void (*stop)(struct worker_client *wc, const char *url, uint64_t epoch, const char *id,
		     bool checkpoint, worker_reply_fn fn, void *ctx);
};

extern const struct worker_ops worker_http_ops;

struct worker_client *worker_client_create(const struct settings *set, struct traffic *traffic);
void worker_client_destroy(struct worker_client *wc);

#endif
