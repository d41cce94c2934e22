#include <string.h>

#include <glib.h>

#include "diff.h"

enum { KEYS_MAX = 16, VALUE_MAX_BYTES = 80 };

/* A key of a team or service with its value, as printed. */
struct key_value {
	const char *key;
	char value[VALUE_MAX_BYTES];
};

struct key_values {
	struct key_value list[KEYS_MAX];
	size_t n;
};

/* The state that a change replaces; all zero if the item is new. */
struct previous {
	struct config_team team;
	struct config_service service;
	char author[64];
	bool exists;
};

struct diff {
	GArray *changes;  /* of struct config_change */
	GArray *previous; /* of struct previous, same indices as changes */
};

static void add_text(struct key_values *kvs, const char *key, const char *value)
{
	struct key_value *kv = &kvs->list[kvs->n++];

	g_assert(kvs->n <= KEYS_MAX);
	kv->key = key;
	g_strlcpy(kv->value, value, sizeof(kv->value));
}

static void add_uint(struct key_values *kvs, const char *key, uint64_t value)
{
	char text[VALUE_MAX_BYTES];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	add_text(kvs, key, text);
}

static void add_bool(struct key_values *kvs, const char *key, bool value)
{
	add_text(kvs, key, value ? "true" : "false");
}

static struct key_values team_key_values(const struct config_team *team)
{
	struct key_values kvs = { 0 };

	add_text(&kvs, "home_dc", team->home_dc);
	add_uint(&kvs, "weight", team->weight);
	add_uint(&kvs, "quota_cpu_milli", team->quota.cpu_milli);
	add_uint(&kvs, "quota_mem_bytes", team->quota.mem_bytes);
	add_uint(&kvs, "quota_accel", team->quota.accel);
	return kvs;
}

static struct key_values service_key_values(const struct config_service *s)
{
	struct key_values kvs = { 0 };

	add_text(&kvs, "team", s->team);
	add_text(&kvs, "class", work_class_name(s->class));
	add_bool(&kvs, "idempotent", s->idempotency == IDEMPOTENT);
	add_uint(&kvs, "cpu_milli", s->size.cpu_milli);
	add_uint(&kvs, "mem_bytes", s->size.mem_bytes);
	add_uint(&kvs, "accel", s->size.accel);
	add_uint(&kvs, "count", s->count);
	add_uint(&kvs, "run_ms", s->run_ms);
	add_uint(&kvs, "deadline_ms", s->deadline_ms);
	add_uint(&kvs, "answer_max_bytes", s->answer_max_bytes);
	add_bool(&kvs, "preemptible", s->preemptible);
	add_bool(&kvs, "throttleable", s->throttleable);
	return kvs;
}

static bool same_values(const struct key_values *a, const struct key_values *b)
{
	for (size_t i = 0; i < a->n; i++)
		if (strcmp(a->list[i].value, b->list[i].value) != 0)
			return false;
	return true;
}

static void add_change(struct diff *d, struct config_change *change, const struct previous *prev)
{
	if (prev->exists)
		change->base_version = change->is_team ? prev->team.version : prev->service.version;
	g_array_append_val(d->changes, *change);
	g_array_append_val(d->previous, *prev);
}

static struct previous previous_team(const struct active_config *active, const char *name)
{
	const struct config_team *team = active_config_team(active, name);
	struct previous prev = { .exists = team != NULL };

	if (team) {
		prev.team = *team;
		g_strlcpy(prev.author, active_config_team_author(active, name),
			  sizeof(prev.author));
	}
	return prev;
}

static struct previous previous_service(const struct active_config *active, const char *name)
{
	const struct config_service *service = active_config_service(active, name);
	struct previous prev = { .exists = service != NULL };

	if (service) {
		prev.service = *service;
		g_strlcpy(prev.author, service->author, sizeof(prev.author));
	}
	return prev;
}

static void compare_team(struct diff *d, const struct config_team *team,
			 const struct active_config *active)
{
	struct config_change change = { .is_team = true, .team = *team };
	struct previous prev = previous_team(active, team->name);
	struct key_values before = team_key_values(&prev.team), after = team_key_values(team);

	if (!prev.exists || !same_values(&before, &after))
		add_change(d, &change, &prev);
}

static void compare_service(struct diff *d, const struct config_service *service,
			    const struct active_config *active)
{
	struct config_change change = { .service = *service };
	struct previous prev = previous_service(active, service->name);
	struct key_values before = service_key_values(&prev.service),
			  after = service_key_values(service);

	if (!prev.exists || !same_values(&before, &after))
		add_change(d, &change, &prev);
}

static void prune_missing(struct diff *d, struct tree *t, const struct active_config *active,
			  bool is_team)
{
	g_autoptr(GList) names = active_config_names(active, is_team);

	for (GList *l = names; l; l = l->next) {
		struct config_change change = { .is_team = is_team, .remove = true };
		struct previous prev;

		if (tree_has(t, is_team, l->data))
			continue;
		prev = is_team ? previous_team(active, l->data) : previous_service(active, l->data);
		change.team = prev.team;
		change.service = prev.service;
		add_change(d, &change, &prev);
	}
}

struct diff *diff_create(struct tree *t, const struct active_config *active, bool prune)
{
	struct diff *d = g_new0(struct diff, 1);
	const struct config_team *team;
	const struct config_service *service;

	d->changes = g_array_new(false, true, sizeof(struct config_change));
	d->previous = g_array_new(false, true, sizeof(struct previous));
	for (size_t i = 0; (team = tree_team(t, i)); i++)
		compare_team(d, team, active);
	for (size_t i = 0; (service = tree_service(t, i)); i++)
		compare_service(d, service, active);
	if (prune) {
		prune_missing(d, t, active, false);
		prune_missing(d, t, active, true);
	}
	return d;
}

void diff_destroy(struct diff *d)
{
	if (!d)
		return;
	g_array_unref(d->changes);
	g_array_unref(d->previous);
	g_free(d);
}

const struct config_change *diff_changes(const struct diff *d, size_t *n)
{
	*n = d->changes->len;
	return (const struct config_change *)(const void *)d->changes->data;
}

static const char *change_name(const struct config_change *change)
{
	return change->is_team ? change->team.name : change->service.name;
}

static void print_change(const struct config_change *change, const struct previous *prev, FILE *out)
{
	const char *kind = change->is_team ? "team" : "service";
	struct key_values before, after;

	if (change->remove) {
		fprintf(out, "- %s %s (version %" G_GUINT64_FORMAT " by %s)\n", kind,
			change_name(change), change->base_version, prev->author);
		return;
	}
	before =
		change->is_team ? team_key_values(&prev->team) : service_key_values(&prev->service);
	after = change->is_team ? team_key_values(&change->team)
				: service_key_values(&change->service);
	if (prev->exists)
		fprintf(out, "~ %s %s (version %" G_GUINT64_FORMAT " by %s)\n", kind,
			change_name(change), change->base_version, prev->author);
	else
		fprintf(out, "+ %s %s\n", kind, change_name(change));
	for (size_t i = 0; i < after.n; i++) {
		if (!prev->exists)
			fprintf(out, "    %s: %s\n", after.list[i].key, after.list[i].value);
		else if (strcmp(before.list[i].value, after.list[i].value) != 0)
			fprintf(out, "    %s: %s -> %s\n", after.list[i].key, before.list[i].value,
				after.list[i].value);
	}
}

void diff_print(const struct diff *d, FILE *out)
{
	for (guint i = 0; i < d->changes->len; i++)
		print_change(&g_array_index(d->changes, struct config_change, i),
			     &g_array_index(d->previous, struct previous, i), out);
}

bool diff_newest_base(const struct diff *d, uint64_t *version, const char **author,
		      const char **name)
{
	*version = 0;
	for (guint i = 0; i < d->changes->len; i++) {
		const struct config_change *change =
			&g_array_index(d->changes, struct config_change, i);

		if (change->base_version <= *version)
			continue;
		*version = change->base_version;
		*author = g_array_index(d->previous, struct previous, i).author;
		*name = change_name(change);
	}
	return *version > 0;
}
