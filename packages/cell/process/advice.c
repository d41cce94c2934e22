#include <glib.h>

#include "advice.h"

struct advice_entry {
	enum verdict verdict;
	char *ticket;
	int64_t valid_until_ms;
};

/* An array, as handles are small numbers looked up for each runner in each placement pass. */
struct advice_entries {
	GArray *by_handle; /* of struct advice_entry */
};

static void entry_clear(gpointer data)
{
	g_free(((struct advice_entry *)data)->ticket);
}

struct advice *advice_create(void)
{
	struct advice *a = g_new0(struct advice, 1);

	a->entries = g_new0(struct advice_entries, 1);
	a->entries->by_handle = g_array_new(FALSE, TRUE, sizeof(struct advice_entry));
	g_array_set_clear_func(a->entries->by_handle, entry_clear);
	return a;
}

void advice_destroy(struct advice *a)
{
	if (!a)
		return;
	g_array_unref(a->entries->by_handle);
	g_free(a->entries);
	g_free(a);
}

static struct advice_entry *find(const struct advice *a, uint32_t handle)
{
	GArray *entries = a->entries->by_handle;

	return handle < entries->len ? &g_array_index(entries, struct advice_entry, handle) : NULL;
}

static struct advice_entry *get(struct advice *a, uint32_t handle)
{
	if (handle >= a->entries->by_handle->len)
		g_array_set_size(a->entries->by_handle, handle + 1);
	return find(a, handle);
}

enum verdict advice_verdict(const struct advice *a, uint32_t handle)
{
	const struct advice_entry *entry = a ? find(a, handle) : NULL;

	return entry ? entry->verdict : VERDICT_UNKNOWN;
}

const char *advice_ticket(const struct advice *a, uint32_t handle, int64_t until_ms)
{
	const struct advice_entry *entry = a ? find(a, handle) : NULL;

	if (!entry || entry->verdict != VERDICT_APPROVED || entry->valid_until_ms < until_ms)
		return NULL;
	return entry->ticket;
}

int64_t advice_valid_until_ms(const struct advice *a, uint32_t handle)
{
	const struct advice_entry *entry = a ? find(a, handle) : NULL;

	return entry ? entry->valid_until_ms : 0;
}

void advice_approve(struct advice *a, uint32_t handle, const char *ticket, int64_t valid_until_ms)
{
	struct advice_entry *entry = get(a, handle);

	entry->verdict = VERDICT_APPROVED;
	g_free(entry->ticket);
	entry->ticket = g_strdup(ticket);
	entry->valid_until_ms = valid_until_ms;
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

void advice_invalidate_ticket(struct advice *a, uint32_t handle)
{
	struct advice_entry *entry = find(a, handle);

	if (entry)
		entry->valid_until_ms = 0;
}
