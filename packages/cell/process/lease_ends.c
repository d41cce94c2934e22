#include <string.h>

#include "cell.pb-c.h"
#include "lease_ends.h"

#define ROW_MAX_BYTES 32 /* of a packed row, beside its id */

/* Tells a record that is read again. */
struct reading {
	uint64_t term;
	uint64_t batch;
	int64_t read_ms;
};

struct lease_ends {
	Cell__LeaseEnds *record; /* NULL for none */
	struct reading last;	 /* of the last record, which may be forgotten */
};

struct lease_ends *lease_ends_create(void)
{
	return g_new0(struct lease_ends, 1);
}

static void clear(struct lease_ends *l)
{
	if (l->record)
		cell__lease_ends__free_unpacked(l->record, NULL);
	l->record = NULL;
}

void lease_ends_destroy(struct lease_ends *l)
{
	if (!l)
		return;
	clear(l);
	g_free(l);
}

bool lease_ends_apply(struct lease_ends *l, const char *key, const uint8_t *value, size_t size,
		      int64_t now_ms)
{
	Cell__LeaseEnds *m;

	if (!g_str_equal(key, LEASE_ENDS_KEY))
		return false;
	m = size ? cell__lease_ends__unpack(NULL, size, value) : NULL;
	if (size && !m)
		return false;
	clear(l);
	l->record = m;
	if (m && (m->term != l->last.term || m->batch != l->last.batch))
		l->last = (struct reading){ m->term, m->batch, now_ms };
	return true;
}

void lease_ends_reload(struct lease_ends *l)
{
	clear(l);
}

void lease_ends_each(const struct lease_ends *l, void (*fn)(void *ctx, const struct lease_end *end),
		     void *ctx)
{
	for (size_t i = 0; l && l->record && i < l->record->n_runner; i++) {
		const Cell__LeaseEnd *row = l->record->runner[i];
		const struct lease_end end = { .runner = row->runner,
					       .incarnation_ms = row->born_ms,
					       .end_ms = l->last.read_ms + row->left_ms };

		fn(ctx, &end);
	}
}

uint8_t *lease_ends_pack(const GArray *ends, uint64_t term, uint64_t batch, int64_t now_ms,
			 guint *named, size_t *size)
{
	Cell__LeaseEnds m = CELL__LEASE_ENDS__INIT;
	g_autofree Cell__LeaseEnd *row = g_new(Cell__LeaseEnd, ends->len);
	g_autofree Cell__LeaseEnd **rows = g_new(Cell__LeaseEnd *, ends->len);
	size_t bytes = ROW_MAX_BYTES;
	uint8_t *buf;

	m.term = term;
	m.batch = batch;
	m.runner = rows;
	for (guint i = 0; i < ends->len; i++) {
		const struct lease_end *end = &g_array_index(ends, struct lease_end, i);

		bytes += strlen(end->runner) + ROW_MAX_BYTES;
		if (bytes > LEASE_ENDS_MAX_BYTES)
			break;
		row[i] = (Cell__LeaseEnd)CELL__LEASE_END__INIT;
		row[i].runner = (char *)end->runner;
		row[i].born_ms = end->incarnation_ms;
		row[i].left_ms = (uint32_t)CLAMP(end->end_ms - now_ms, 0, UINT32_MAX);
		rows[m.n_runner++] = &row[i];
	}
	*named = (guint)m.n_runner;
	*size = cell__lease_ends__get_packed_size(&m);
	buf = g_malloc(*size);
	cell__lease_ends__pack(&m, buf);
	return buf;
}
