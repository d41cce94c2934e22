#include "estimate.h"

#define SERVICES_MAX 65535u /* no estimates for services with a higher index */
#define STEP_DIVISOR 128    /* a sample moves the median by about 1/128 */

void estimates_init(struct estimates *e)
{
	e->by_service = g_array_new(FALSE, TRUE, sizeof(struct estimate));
}

void estimates_clear(struct estimates *e)
{
	g_array_free(e->by_service, TRUE);
}

static struct estimate *get(struct estimates *e, uint32_t service)
{
	if (service >= SERVICES_MAX)
		return NULL;
	if (service >= e->by_service->len)
		g_array_set_size(e->by_service, service + 1);
	return &g_array_index(e->by_service, struct estimate, service);
}

static const struct estimate *find(const struct estimates *e, uint32_t service)
{
	static const struct estimate none;

	return service < e->by_service->len
		       ? &g_array_index(e->by_service, struct estimate, service)
		       : &none;
}

/* Moves q by a small step towards the quantile q_milli / 1000 of the samples. */
static uint64_t track(uint64_t q, uint64_t sample, uint32_t q_milli, bool first)
{
	uint64_t step = q / STEP_DIVISOR + 1;

	if (first)
		return sample;
	if (sample > q)
		return MIN(sample, q + step * q_milli / 500 + 1);
	if (sample < q)
		return MAX(sample, q - step * (1000 - q_milli) / 500);
	return q;
}

void estimates_add_run(struct estimates *e, uint32_t service, uint32_t run_ms)
{
	struct estimate *s = get(e, service);

	if (!s)
		return;
	s->run_p50_ms = (uint32_t)track(s->run_p50_ms, run_ms, 500, !s->runs);
	s->run_p95_ms = (uint32_t)track(s->run_p95_ms, run_ms, 950, !s->runs);
	s->runs++;
}

void estimates_add_usage(struct estimates *e, uint32_t service, const struct res *used)
{
	struct estimate *s = get(e, service);

	if (!s)
		return;
	s->mem_p95_bytes = track(s->mem_p95_bytes, used->mem_bytes, 950, !s->usage_reports);
	s->usage_reports++;
}

uint32_t estimates_run_ms(const struct estimates *e, uint32_t service, uint32_t declared_ms,
			  bool p95)
{
	const struct estimate *s = find(e, service);

	if (s->runs < ESTIMATE_SAMPLES_MIN)
		return declared_ms;
	return p95 ? s->run_p95_ms : s->run_p50_ms;
}

struct res estimates_size(const struct estimates *e, uint32_t service, const struct res *declared)
{
	const struct estimate *s = find(e, service);
	struct res size = *declared;

	if (s->usage_reports >= ESTIMATE_SAMPLES_MIN)
		size.mem_bytes = MAX(size.mem_bytes, s->mem_p95_bytes);
	return size;
}
