#include <string.h>

#include <glib.h>

#include "diff.h"

enum { KEYS_MAX = 16, VALUE_BYTES = 80 };

/* A key and its value as text. */
struct pair {
	const char *key;
	char value[VALUE_BYTES];
};

struct pairs {
	struct pair list[KEYS_MAX];
	size_t n;
};

/* What a change replaces; empty values for new ones. */
struct old {
	struct config_team team;
	struct config_service service;
	char author[64];
	bool exists;
};

struct diff {
	GArray *changes; /* of struct config_change */
	GArray *olds;	 /* of struct old, in step with changes */
};

static void add_text(struct pairs *p, const char *key, const char *value)
{
	struct pair *pair = &p->list[p->n++];

	g_assert(p->n <= KEYS_MAX);
	pair->key = key;
	g_strlcpy(pair->value, value, sizeof(pair->value));
}

static void add_uint(struct pairs *p, const char *key, uint64_t value)
{
	char text[VALUE_BYTES];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
	add_text(p, key, text);
}

static void add_bool(struct pairs *p, const char *key, bool value)
{
	add_text(p, key, value ? "true" : "false");
}

static struct pairs team_pairs(const struct config_team *team)
{
	struct pairs p = { 0 };

	add_text(&p, "home_dc", team->home_dc);
	add_uint(&p, "weight", team->weight);
	add_uint(&p, "quota_cpu_milli", team->quota.cpu_milli);
	add_uint(&p, "quota_mem_bytes", team->quota.mem_bytes);
	add_uint(&p, "quota_accel", team->quota.accel);
	return p;
}

static struct pairs service_pairs(const struct config_service *s)
{
	struct pairs p = { 0 };

	add_text(&p, "team", s->team);
	add_text(&p, "class", work_class_name(s->class));
	add_bool(&p, "idempotent", s->idempotency == IDEMPOTENT);
	add_uint(&p, "cpu_milli", s->size.cpu_milli);
	add_uint(&p, "mem_bytes", s->size.mem_bytes);
	add_uint(&p, "accel", s->size.accel);
	add_uint(&p, "count", s->count);
	add_uint(&p, "run_ms", s->run_ms);
	add_uint(&p, "deadline_ms", s->deadline_ms);
	add_uint(&p, "answer_max_bytes", s->answer_max_bytes);
	add_bool(&p, "preemptible", s->preemptible);
	add_bool(&p, "throttleable", s->throttleable);
	return p;
}

static bool same_pairs(const struct pairs *a, const struct pairs *b)
{
	for (size_t i = 0; i < a->n; i++)
		if (strcmp(a->list[i].value, b->list[i].value) != 0)
			return false;
	return true;
}

static void add_change(struct diff *d, struct config_change *change, const struct old *old)
{
	if (old->exists)
		change->base_version = change->is_team ? old->team.version : old->service.version;
	g_array_append_val(d->changes, *change);
	g_array_append_val(d->olds, *old);
}

static struct old old_team(const struct active_config *active, const char *name)
{
	const struct config_team *team = active_config_team(active, name);
	struct old old = { .exists = team != NULL };

	if (team) {
		old.team = *team;
		g_strlcpy(old.author, active_config_team_author(active, name), sizeof(old.author));
	}
	return old;
}

static struct old old_service(const struct active_config *active, const char *name)
{
	const struct config_service *service = active_config_service(active, name);
	struct old old = { .exists = service != NULL };

	if (service) {
		old.service = *service;
		g_strlcpy(old.author, service->author, sizeof(old.author));
	}
	return old;
}

static void compare_team(struct diff *d, const struct config_team *team,
			 const struct active_config *active)
{
	struct config_change change = { .is_team = true, .team = *team };
	struct old old = old_team(active, team->name);
	struct pairs before = team_pairs(&old.team), after = team_pairs(team);

	if (!old.exists || !same_pairs(&before, &after))
		add_change(d, &change, &old);
}

static void compare_service(struct diff *d, const struct config_service *service,
			    const struct active_config *active)
{
	struct config_change change = { .service = *service };
	struct old old = old_service(active, service->name);
	struct pairs before = service_pairs(&old.service), after = service_pairs(service);

	if (!old.exists || !same_pairs(&before, &after))
		add_change(d, &change, &old);
}

static void prune_missing(struct diff *d, struct tree *t, const struct active_config *active,
			  bool is_team)
{
	g_autoptr(GList) names = active_config_names(active, is_team);

	for (GList *l = names; l; l = l->next) {
		struct config_change change = { .is_team = is_team, .remove = true };
		struct old old;

		if (tree_has(t, is_team, l->data))
			continue;
		old = is_team ? old_team(active, l->data) : old_service(active, l->data);
		change.team = old.team;
		change.service = old.service;
		add_change(d, &change, &old);
	}
}

struct diff *diff_create(struct tree *t, const struct active_config *active, bool prune)
{
	struct diff *d = g_new0(struct diff, 1);
	const struct config_team *team;
	const struct config_service *service;

	d->changes = g_array_new(false, true, sizeof(struct config_change));
	d->olds = g_array_new(false, true, sizeof(struct old));
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
	g_array_unref(d->olds);
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

static void print_change(const struct config_change *change, const struct old *old, FILE *out)
{
	const char *kind = change->is_team ? "team" : "service";
	struct pairs before, after;

	if (change->remove) {
		fprintf(out, "- %s %s (version %" G_GUINT64_FORMAT " by %s)\n", kind,
			change_name(change), change->base_version, old->author);
		return;
	}
	before = change->is_team ? team_pairs(&old->team) : service_pairs(&old->service);
	after = change->is_team ? team_pairs(&change->team) : service_pairs(&change->service);
	if (old->exists)
		fprintf(out, "~ %s %s (version %" G_GUINT64_FORMAT " by %s)\n", kind,
			change_name(change), change->base_version, old->author);
	else
		fprintf(out, "+ %s %s\n", kind, change_name(change));
	for (size_t i = 0; i < after.n; i++) {
		if (!old->exists)
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
			     &g_array_index(d->olds, struct old, i), out);
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
		*author = g_array_index(d->olds, struct old, i).author;
		*name = change_name(change);
	}
	return *version > 0;
}
