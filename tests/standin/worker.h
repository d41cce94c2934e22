#ifndef WORKER_H
#define WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include "record.h"
#include "standin.h"

/* What a worker holds, from its entry in the VM list. */
struct worker_capacity {
	int64_t cpu_milli;
	int64_t mem_bytes;
	int64_t accel;
	int64_t slots;
	int64_t connections;
};

/* Faults in force on a worker. */
struct worker_fault {
	int64_t frozen_until_ms;
	int64_t lose_answers; /* so many calls take effect and get no answer */
	int64_t usage_percent;
	bool fail_starts;
	bool fail_tasks;
	bool leaving;
	bool drop;
	bool epochs_ignored;
};

struct worker {
	char *name;
	char *owner;
	struct record_file *record;
	struct worker_capacity capacity;
	struct worker_capacity used;
	struct worker_fault fault;
	GHashTable *tasks; /* id to struct task */
	GList *waiters;	   /* of struct renew_waiter */
	GList *runs;	   /* of struct run */
	uint64_t epoch;
	uint64_t ended_seq;
	int64_t lease_ms;
	int64_t task_lease_ms;
	int64_t lease_until_ms;	     /* 0: none or lapsed */
	int64_t task_lease_until_ms; /* 0: none or lapsed */
};

/* Why a start is turned away, in the words of the protocol. */
enum refusal { REFUSE_NONE, REFUSE_EPOCH, REFUSE_LAPSED, REFUSE_LEAVING, REFUSE_FULL };

/* worker_create - a worker from its entry in the VM list; record is borrowed. */
struct worker *worker_create(JsonObject *entry, struct record_file *record);

/* worker_call - serves POST /session, /renew, /tasks or /stop; false if call is none of them. */
bool worker_call(struct worker *w, SoupServerMessage *msg, const char *call);
/* worker_fault - sets the faults that o names. */
void worker_fault(struct worker *w, JsonObject *o);
/* worker_tick - lets leases lapse and tasks end; to be called often. */
void worker_tick(struct worker *w, int64_t now_ms);

/* worker_check_epoch - whether a call under this epoch may go on. */
enum refusal worker_check_epoch(const struct worker *w, uint64_t epoch);
/* worker_overload - records that more was asked for than the worker holds. */
void worker_overload(struct worker *w, const char *what, const char *id, uint64_t epoch);

#endif
