#include <malloc.h>

#include <glib.h>

#include "body_budget.h"

#define LARGE_MILLI 750 /* part of the budget that large bodies may use */
/*
 * malloc_trim() walks the whole heap, so it is called only after a peak of this size at least, of
 * which no more than a part is still in use after the delay.
 */
#define TRIM_PEAK_BYTES (4 << 20)
#define TRIM_PART	4
#define TRIM_DELAY_MS	1000

struct body_budget {
	uint64_t max_bytes;
	uint64_t held_bytes;
	uint64_t other_bytes;
	uint64_t peak_bytes; /* of both since the last trim */
	guint trim_timer;
	void (*before_trim)(void *ctx);
	void *ctx;
};

struct body_budget *body_budget_create(uint64_t max_bytes, void (*before_trim)(void *ctx),
				       void *ctx)
{
	struct body_budget *b = g_new0(struct body_budget, 1);

	b->max_bytes = max_bytes;
	b->before_trim = before_trim;
	b->ctx = ctx;
	return b;
}

void body_budget_destroy(struct body_budget *b)
{
	if (!b)
		return;
	if (b->trim_timer)
		g_source_remove(b->trim_timer);
	g_free(b);
}

static uint64_t in_use(const struct body_budget *b)
{
	return b->held_bytes + b->other_bytes;
}

static void note_peak(struct body_budget *b)
{
	b->peak_bytes = MAX(b->peak_bytes, in_use(b));
}

static bool is_after_peak(const struct body_budget *b)
{
	return b->peak_bytes >= TRIM_PEAK_BYTES && in_use(b) <= b->peak_bytes / TRIM_PART;
}

static gboolean on_trim(gpointer data)
{
	struct body_budget *b = data;

	b->trim_timer = 0;
	if (!is_after_peak(b))
		return G_SOURCE_REMOVE;
	b->peak_bytes = in_use(b);
	b->before_trim(b->ctx);
	malloc_trim(0);
	return G_SOURCE_REMOVE;
}

static void trim_after_peak(struct body_budget *b)
{
	if (!b->trim_timer && is_after_peak(b))
		b->trim_timer = g_timeout_add(TRIM_DELAY_MS, on_trim, b);
}

bool body_budget_grow(struct body_budget *b, uint64_t *held_bytes, uint64_t bytes)
{
	uint64_t max_bytes = b->max_bytes;
	uint64_t more_bytes;

	if (bytes <= *held_bytes)
		return true;
	more_bytes = bytes - *held_bytes;
	if (bytes > BODY_SMALL_BYTES)
		max_bytes = max_bytes / 1000 * LARGE_MILLI;
	if (b->max_bytes && b->held_bytes + more_bytes > max_bytes)
		return false;
	b->held_bytes += more_bytes;
	*held_bytes = bytes;
	note_peak(b);
	return true;
}

void body_budget_release(struct body_budget *b, uint64_t *held_bytes)
{
	b->held_bytes -= *held_bytes;
	*held_bytes = 0;
	trim_after_peak(b);
}

void body_budget_hold_other(struct body_budget *b, uint64_t bytes)
{
	b->other_bytes += bytes;
	note_peak(b);
}

void body_budget_release_other(struct body_budget *b, uint64_t bytes)
{
	b->other_bytes -= bytes;
	trim_after_peak(b);
}
