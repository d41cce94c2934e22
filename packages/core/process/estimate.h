#ifndef CORE_ESTIMATE_H
#define CORE_ESTIMATE_H

#include <glib.h>

#include "types.h"

/*
 * estimate - what the work of a service really takes, learned from its ends and from reports of
 * use that lag. Quantiles are tracked in constant space by small steps up or down.
 */
#define ESTIMATE_SAMPLES_MIN 16 /* before this many, the declared value is used */

struct estimate {
	uint32_t runs;
	uint32_t usage_reports;
	uint32_t run_p50_ms;
	uint32_t run_p95_ms;
	uint64_t mem_p95_bytes;
};

struct estimates {
	GArray *service; /* struct estimate, by index of the service */
};

void estimates_init(struct estimates *e);
void estimates_clear(struct estimates *e);
/* estimates_add_run, estimates_add_usage - a run has ended; a report of use has come in. */
void estimates_add_run(struct estimates *e, uint32_t service, uint32_t run_ms);
void estimates_add_usage(struct estimates *e, uint32_t service, const struct res *used);
/* estimates_run_ms - expected run time at the median or at the 95th percentile. */
uint32_t estimates_run_ms(const struct estimates *e, uint32_t service, uint32_t declared_ms,
			  bool p95);
/* estimates_size - room to count for work of that declared size; memory may be raised. */
struct res estimates_size(const struct estimates *e, uint32_t service, const struct res *declared);

#endif
