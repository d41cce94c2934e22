#ifndef WORKER_H
#define WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include "record.h"
#include "standin.h"

/* A worker's capacity, from its entry in the VM list. */
struct worker_capacity {
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
	int64_t slots;
	int64_t connections;
};

/* Current faults of a worker. */
struct worker_fault {
	int64_t frozen_until_ms;
	int64_t lose_answers;  /* number of calls to execute without an answer */
	int64_t usage_percent; /* reported usage of a task, of its declared size */
	bool fail_starts;
	bool fail_tasks;
	bool leaving;
	bool drop;	     /* closes connections without an answer */
	bool epochs_ignored; /* accepts calls under any epoch */
};

struct worker {
	char *name;
	char *owner;
	struct record_file *record;
	struct worker_capacity capacity;
	struct worker_capacity used;
	struct worker_fault fault;
	GHashTable *tasks; /* id -> struct task */
	GList *waiters;	   /* of struct renew_waiter */
	GList *runs;	   /* of struct run */
	uint64_t epoch;
	uint64_t ended_seq;
	int64_t lease_ms;
	int64_t task_lease_ms;
	int64_t lease_until_ms;	     /* 0: none or lapsed */
	int64_t task_lease_until_ms; /* 0: none or lapsed */
};

/* Why a start or request is refused. */
enum refusal { REFUSE_NONE, REFUSE_EPOCH, REFUSE_LAPSED, REFUSE_LEAVING, REFUSE_FULL };

/* worker_create - creates a worker from its entry in the VM list. record is borrowed. */
struct worker *worker_create(JsonObject *entry, struct record_file *record);

/* worker_call - serves POST /session, /renew, /tasks or /stop; false for any other call. */
bool worker_call(struct worker *w, SoupServerMessage *msg, const char *call);
/* worker_fault - sets the faults named in o. */
void worker_fault(struct worker *w, JsonObject *o);
/* worker_tick - expires leases and ends due tasks; to be called periodically. */
void worker_tick(struct worker *w, int64_t now_ms);

/* worker_check_epoch - checks the epoch of a call and the lease. */
enum refusal worker_check_epoch(const struct worker *w, uint64_t epoch);
/* worker_overload - records that more was requested than the worker has free. */
void worker_overload(struct worker *w, const char *what, const char *id, uint64_t epoch);

#endif
