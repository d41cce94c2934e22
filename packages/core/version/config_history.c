#include <glib.h>

#include "config_history.h"

/* Decisions in order of age; append-only. */
struct store {
	int refs;
	GArray *records;
};

struct config_history {
	int refs;
	struct store *store;
	size_t end; /* records of the store that belong to this history */
};

static char **copy_names(char **names)
{
	return names ? g_strdupv(names) : NULL;
}

void config_decision_clear(struct config_decision *d)
{
	g_free(d->author);
	g_strfreev(d->removed_teams);
	g_strfreev(d->removed_services);
	g_free(d->winner);
	g_free(d->message);
}

static struct store *store_create(void)
{
	struct store *store = g_new0(struct store, 1);

	store->refs = 1;
	store->records = g_array_new(false, true, sizeof(struct config_decision));
	g_array_set_clear_func(store->records, (GDestroyNotify)config_decision_clear);
	return store;
}

static void store_unref(struct store *store)
{
	if (--store->refs > 0)
		return;
	g_array_unref(store->records);
	g_free(store);
}

struct config_history *config_history_create(void)
{
	struct config_history *h = g_new0(struct config_history, 1);

	h->refs = 1;
	h->store = store_create();
	return h;
}

struct config_history *config_history_ref(struct config_history *h)
{
	h->refs++;
	return h;
}

void config_history_unref(struct config_history *h)
{
	if (--h->refs > 0)
		return;
	store_unref(h->store);
	g_free(h);
}

size_t config_history_count(const struct config_history *h)
{
	return MIN(h->end, (size_t)CONFIG_HISTORY_MAX);
}

const struct config_decision *config_history_at(const struct config_history *h, size_t i)
{
	g_assert(i < config_history_count(h));
	return &g_array_index(h->store->records, struct config_decision,
			      h->end - config_history_count(h) + i);
}

static struct store *store_copy(const struct config_history *h)
{
	struct store *store = store_create();

	for (size_t i = 0; i < config_history_count(h); i++) {
		const struct config_decision *from = config_history_at(h, i);
		struct config_decision d = {
			.nonce = from->nonce,
			.version = from->version,
			.author = g_strdup(from->author),
			.removed_teams = copy_names(from->removed_teams),
			.removed_services = copy_names(from->removed_services),
			.code = from->code,
			.winner = g_strdup(from->winner),
			.message = g_strdup(from->message),
		};

		g_array_append_val(store->records, d);
	}
	return store;
}

struct config_history *config_history_add(struct config_history *h, const struct config_decision *d)
{
	struct config_history *next = g_new0(struct config_history, 1);
	bool branches = h->store->records->len != h->end;
	bool too_long = h->end >= 2 * (size_t)CONFIG_HISTORY_MAX;

	next->refs = 1;
	if (branches || too_long) {
		next->store = store_copy(h);
	} else {
		next->store = h->store;
		next->store->refs++;
	}
	g_array_append_vals(next->store->records, d, 1);
	next->end = next->store->records->len;
	return next;
}

const struct config_decision *config_history_find_nonce(const struct config_history *h,
							uint64_t nonce)
{
	if (nonce == 0)
		return NULL;
	for (size_t i = config_history_count(h); i > 0; i--) {
		const struct config_decision *d = config_history_at(h, i - 1);

		if (d->nonce == nonce)
			return d;
	}
	return NULL;
}

const struct config_decision *config_history_find_removal(const struct config_history *h,
							  bool is_team, const char *name)
{
	for (size_t i = config_history_count(h); i > 0; i--) {
		const struct config_decision *d = config_history_at(h, i - 1);
		char **names = is_team ? d->removed_teams : d->removed_services;

		if (names && g_strv_contains((const char *const *)names, name))
			return d;
	}
	return NULL;
}
