#include <glib.h>

#include "advice.h"

struct row {
	enum verdict verdict;
	char *ticket;
	int64_t valid_until_ms;
};

/* Handles are small numbers, and looked up for each runner in each pass. */
struct advice_rows {
	GArray *by_handle; /* of struct row */
};

static void row_clear(gpointer data)
{
	g_free(((struct row *)data)->ticket);
}

struct advice *advice_create(void)
{
	struct advice *a = g_new0(struct advice, 1);

	a->rows = g_new0(struct advice_rows, 1);
	a->rows->by_handle = g_array_new(FALSE, TRUE, sizeof(struct row));
	g_array_set_clear_func(a->rows->by_handle, row_clear);
	return a;
}

void advice_destroy(struct advice *a)
{
	if (!a)
		return;
	g_array_unref(a->rows->by_handle);
	g_free(a->rows);
	g_free(a);
}

static struct row *find(const struct advice *a, uint32_t handle)
{
	GArray *rows = a->rows->by_handle;

	return handle < rows->len ? &g_array_index(rows, struct row, handle) : NULL;
}

static struct row *get(struct advice *a, uint32_t handle)
{
	if (handle >= a->rows->by_handle->len)
		g_array_set_size(a->rows->by_handle, handle + 1);
	return find(a, handle);
}

enum verdict advice_verdict(const struct advice *a, uint32_t handle)
{
	const struct row *row = a ? find(a, handle) : NULL;

	return row ? row->verdict : VERDICT_UNKNOWN;
}

const char *advice_ticket(const struct advice *a, uint32_t handle, int64_t until_ms)
{
	const struct row *row = a ? find(a, handle) : NULL;

	if (!row || row->verdict != VERDICT_APPROVED || row->valid_until_ms < until_ms)
		return NULL;
	return row->ticket;
}

int64_t advice_valid_until_ms(const struct advice *a, uint32_t handle)
{
	const struct row *row = a ? find(a, handle) : NULL;

	return row ? row->valid_until_ms : 0;
}

void advice_approve(struct advice *a, uint32_t handle, const char *ticket, int64_t valid_until_ms)
{
	struct row *row = get(a, handle);

	row->verdict = VERDICT_APPROVED;
	g_free(row->ticket);
	row->ticket = g_strdup(ticket);
	row->valid_until_ms = valid_until_ms;
}

void advice_deny(struct advice *a, uint32_t handle)
{
	get(a, handle)->verdict = VERDICT_DENIED;
}

char **advice_copy_runners(const char *const *runner, size_t n)
{
	char **copy = g_new0(char *, n + 1);

	for (size_t i = 0; i < n; i++)
		copy[i] = g_strdup(runner[i]);
	return copy;
}

void advice_spoil(struct advice *a, uint32_t handle)
{
	struct row *row = find(a, handle);

	if (row)
		row->valid_until_ms = 0;
}
