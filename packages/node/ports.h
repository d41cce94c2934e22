#ifndef NODE_PORTS_H
#define NODE_PORTS_H

#include "process/scheduler.h"

/*
 * ports - the interfaces of a node to the store, the runners, the advisor and the clock. All calls
 * are asynchronous: they return at once, and the callback is called exactly once, from the loop.
 */

enum store_result {
	STORE_OK = 0,
	STORE_REFUSED,	    /* the call certainly had no effect */
	STORE_END_MISMATCH, /* the log did not end at the expected offset */
	STORE_FENCED,	    /* a producer with a newer epoch has written */
	STORE_OUT_OF_SEQUENCE,
	STORE_TRIMMED, /* the requested records are no longer kept */
	STORE_UNKNOWN, /* no answer: the call may take effect, even later */
};

/* Conditions of an append. */
struct append_cond {
	bool check_end; /* append only if the log ends at expected_end */
	uint64_t expected_end;
	const char *producer; /* NULL for none */
	uint64_t epoch;
	uint64_t seq;
};

struct store_record {
	uint64_t offset;
	const char *key; /* NULL in a log without keys */
	const uint8_t *value;
	size_t size; /* 0 if the key was deleted */
};

struct store_page {
	const struct store_record *record;
	size_t n;
	uint64_t oldest_offset; /* of the oldest record that is kept */
	uint64_t next_offset;	/* end of the log; a long page ends before it */
	/* store_ops.newest only; NULL or the last key that was read, also if its record is left
	 * out. */
	const char *last_key;
	bool more; /* more keys follow the last one, which isn't NULL then */
};

/* offset: of the first appended record; on STORE_END_MISMATCH the end of the log. */
typedef void (*appended_fn)(void *ctx, enum store_result result, uint64_t offset);
/* page is NULL unless result is STORE_OK or STORE_TRIMMED; then only oldest_offset is set. */
typedef void (*page_fn)(void *ctx, enum store_result result, const struct store_page *page);

/* Takes 50 ms on a link of 10 Mbit/s, so that other messages are not delayed for longer. */
#define STORE_PAGE_BYTES     65536
#define STORE_PAGE_MAX_BYTES 1048576 /* more than the largest record */

struct store_ops {
	/*
	 * append - records holds struct log_record; an empty array only sets the producer's epoch.
	 */
	void (*append)(void *impl, const char *topic, uint32_t part, const GPtrArray *records,
		       const struct append_cond *cond, uint32_t timeout_ms, appended_fn fn,
		       void *ctx);
	/*
	 * read - waits up to wait_ms for a record. The page has at most max_bytes, rounded up to
	 * KiB; it may be empty if the next record is larger.
	 */
	void (*read)(void *impl, const char *topic, uint32_t part, uint64_t from, uint32_t wait_ms,
		     uint32_t max_bytes, page_fn fn, void *ctx);
	/* newest - reads the newest record of each key after `after` ("" for all). */
	void (*newest)(void *impl, const char *topic, uint32_t part, const char *after, page_fn fn,
		       void *ctx);
};

struct store {
	const struct store_ops *ops;
	void *impl;
};

typedef void (*started_fn)(void *ctx, enum start_result result);
typedef void (*stopped_fn)(void *ctx, bool answered);
/* reply is NULL if the runner did not answer. */
typedef void (*polled_fn)(void *ctx, const struct poll_reply *reply);

#define STOP_TIMEOUT_MS 600 /* a stop that is not answered is repeated */

struct runner_ops {
	void (*start)(void *impl, const struct start_order *order, uint64_t fence, started_fn fn,
		      void *ctx);
	void (*stop)(void *impl, const char *runner, const char *address, const char *task,
		     uint32_t run, uint64_t fence, stopped_fn fn, void *ctx);
	void (*poll)(void *impl, const struct poll_order *order, uint64_t fence, polled_fn fn,
		     void *ctx);
};

struct runner_client {
	const struct runner_ops *ops;
	void *impl;
};

/* answered is false if the advisor did not answer. */
typedef void (*advised_fn)(void *ctx, bool answered, const struct ticket *ticket, size_t n,
			   uint32_t validity_ms);

struct advisor_ops {
	void (*ask)(void *impl, const char *step, const char *const *runner, size_t n,
		    advised_fn fn, void *ctx);
};

struct advisor {
	const struct advisor_ops *ops;
	void *impl;
};

/* node_now_ms - monotonic time that also advances while the VM is suspended. */
int64_t node_now_ms(void);
/* node_wall_ms - wall-clock time since the Unix epoch. */
int64_t node_wall_ms(void);

#endif
