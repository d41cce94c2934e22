#ifndef NODE_HELPER_H
#define NODE_HELPER_H

#include "ports.h"

/*
 * helper - asks the advisor, one call at a time, on behalf of the scheduler: the advisor serves the
 * calls of one VM in turn anyway, and questions that are not sent yet can be dropped.
 */
struct helper;

typedef void (*helper_fn)(void *ctx, uint64_t call, bool remote, bool answered,
			  const struct ticket *ticket, size_t n, uint32_t validity_ms);

struct helper *helper_create(const struct advisor *advisor, helper_fn fn, void *ctx);
void helper_destroy(struct helper *h);
/* helper_ask - copies what it is given. remote: for another node. */
void helper_ask(struct helper *h, uint64_t call, bool remote, const char *step,
		const char *const *runner, size_t n, uint64_t cost_us);
/* helper_load_us - about how long the advisor needs for what was asked. */
uint64_t helper_load_us(const struct helper *h);
/* helper_clear - forgets the questions that were not sent. */
void helper_clear(struct helper *h, bool remote);

#endif
