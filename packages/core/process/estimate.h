#ifndef CORE_ESTIMATE_H
#define CORE_ESTIMATE_H

#include <glib.h>

#include "types.h"

/*
 * estimate - actual run time and memory of the work of a service, learned from finished runs and
 * from delayed usage reports. Quantiles are tracked in constant space by small steps up or down.
 */
#define ESTIMATE_SAMPLES_MIN 16 /* with fewer samples, the declared value is used */

struct estimate {
	uint32_t runs;
	uint32_t usage_reports;
	uint32_t run_p50_ms;
	uint32_t run_p95_ms;
	uint64_t mem_p95_bytes;
};

struct estimates {
	GArray *by_service; /* struct estimate, by service index */
};

void estimates_init(struct estimates *e);
void estimates_clear(struct estimates *e);
/* estimates_add_run, estimates_add_usage - adds the run time or the usage of one item. */
void estimates_add_run(struct estimates *e, uint32_t service, uint32_t run_ms);
void estimates_add_usage(struct estimates *e, uint32_t service, const struct res *used);
/* estimates_run_ms - median or 95th percentile of the run time. */
uint32_t estimates_run_ms(const struct estimates *e, uint32_t service, uint32_t declared_ms,
			  bool p95);
/* estimates_size - declared size, with memory raised to the 95th percentile if that is more. */
struct res estimates_size(const struct estimates *e, uint32_t service, const struct res *declared);

#endif
