#ifndef NODE_PORTS_H
#define NODE_PORTS_H

#include "process/scheduler.h"

/*
 * ports - what a node needs of the outside, as tables of function pointers. All calls return at
 * once; each answer comes later from the loop, exactly once.
 */

enum store_result {
	STORE_OK = 0,
	STORE_REFUSED,	      /* surely nothing was done */
	STORE_ENDS_ELSEWHERE, /* the condition on the end of the log did not hold */
	STORE_FENCED,	      /* a newer epoch has written */
	STORE_OUT_OF_SEQUENCE,
	STORE_TRIMMED, /* what was to be read is not kept any more */
	STORE_UNKNOWN, /* no answer: it may be done, now or later */
};

/* Conditions of an append. */
struct append_terms {
	bool at_end; /* only if the log ends at `end` */
	uint64_t end;
	const char *producer; /* NULL for none */
	uint64_t epoch;
	uint64_t seq;
};

struct store_record {
	uint64_t offset;
	const char *key; /* NULL in a log without keys */
	const uint8_t *value;
	size_t size; /* 0 if the key was dropped */
};

struct store_page {
	const struct store_record *record;
	size_t n;
	uint64_t first; /* offset of the oldest record that is kept */
	uint64_t next;	/* where to read on */
	bool more;	/* of store_ops.newest: go on after the last key */
};

/* offset: of the first record appended; on STORE_ENDS_ELSEWHERE the end of the log. */
typedef void (*appended_fn)(void *ctx, enum store_result result, uint64_t offset);
/* page is NULL unless result is STORE_OK or, with first only, STORE_TRIMMED. */
typedef void (*page_fn)(void *ctx, enum store_result result, const struct store_page *page);

struct store_ops {
	/* append - records are struct log_record; none at all sets the producer's epoch. */
	void (*append)(void *impl, const char *topic, uint32_t part, const GPtrArray *records,
		       const struct append_terms *terms, uint32_t timeout_ms, appended_fn fn,
		       void *ctx);
	/* read - waits up to wait_ms for a record. */
	void (*read)(void *impl, const char *topic, uint32_t part, uint64_t from, uint32_t wait_ms,
		     page_fn fn, void *ctx);
	/* newest - the newest record of each key after `after` ("" for all). */
	void (*newest)(void *impl, const char *topic, uint32_t part, const char *after, page_fn fn,
		       void *ctx);
};

struct store {
	const struct store_ops *ops;
	void *impl;
};

typedef void (*started_fn)(void *ctx, enum start_result result);
typedef void (*stopped_fn)(void *ctx, bool answered);
/* look is NULL if there was no answer. */
typedef void (*looked_fn)(void *ctx, const struct poll_reply *look);

#define STOP_TIMEOUT_MS 600 /* of a stop; it is repeated without an answer */

struct runner_ops {
	void (*start)(void *impl, const struct start_order *order, uint64_t term, started_fn fn,
		      void *ctx);
	void (*stop)(void *impl, const char *runner, const char *address, const char *task,
		     uint32_t run, uint64_t term, stopped_fn fn, void *ctx);
	void (*look)(void *impl, const struct poll_order *order, uint64_t term, looked_fn fn,
		     void *ctx);
};

struct runners {
	const struct runner_ops *ops;
	void *impl;
};

/* answered is false if the advisor said nothing. */
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

/* node_now_ms - a clock that goes on while the VM is suspended. */
int64_t node_now_ms(void);
int64_t node_wall_ms(void);

#endif
