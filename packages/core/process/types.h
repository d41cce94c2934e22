#ifndef CORE_TYPES_H
#define CORE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/* Classes of work, in the order in which they are served. */
enum work_class {
	WORK_URGENT = 0, /* requests and tasks that must start within urgent_start_ms */
	WORK_REQUEST,	 /* interactive requests with a deadline */
	WORK_SERVICE,	 /* long-running tasks kept at a declared count */
	WORK_GANG,	 /* tasks that start all together or not at all */
	WORK_BATCH,	 /* durable jobs, on the capacity that is left */
	WORK_CLASSES,
};

/* Result of work for its caller. The names are part of the public interface. */
enum outcome {
	OUTCOME_NONE = 0,
	OUTCOME_DONE,	 /* ran, and the answer is complete */
	OUTCOME_NOT_RUN, /* provably never handed to a worker */
	OUTCOME_FAILED,	 /* ran, and ended with an error */
	OUTCOME_UNKNOWN, /* handed over to a worker, result unknown */
	OUTCOMES,
};

/* An amount of processor, memory and accelerators. */
struct res {
	uint64_t mem_bytes;
	uint32_t cpu_milli; /* thousandths of a processor */
	uint32_t accel;	    /* whole accelerators */
};

/* work_class_name, outcome_name - public name of a value. */
const char *work_class_name(enum work_class class);
const char *outcome_name(enum outcome outcome);

/* work_class_parse, outcome_parse - value of a public name; false if it is unknown. */
bool work_class_parse(const char *word, enum work_class *class);
bool outcome_parse(const char *word, enum outcome *outcome);

/* res_fits - true if want does not exceed have in any dimension. */
bool res_fits(const struct res *want, const struct res *have);
void res_add(struct res *sum, const struct res *r);
/* res_sub - requires that r fits in sum. */
void res_sub(struct res *sum, const struct res *r);

#endif
