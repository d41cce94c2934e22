#include <string.h>

#include <glib.h>

#include "config.h"
#include "config_record.h"

#define STEP "config"

struct config {
	int refs;
	struct config_state state;
};

/* A record being applied: the resulting state and the removed items. */
struct apply_ctx {
	const struct config *base;
	const Kw__ConfigRecord *record;
	struct config_state next;
	GPtrArray *removed_teams;
	GPtrArray *removed_services;
	struct status *st;
};

static struct config *create(const struct config_state *state)
{
	struct config *c = g_new0(struct config, 1);

	c->refs = 1;
	c->state = *state;
	return c;
}

struct config *config_empty(void)
{
	struct config_state state = {
		.teams = config_table_create(),
		.services = config_table_create(),
		.history = config_history_create(),
	};

	return create(&state);
}

struct config *config_ref(struct config *c)
{
	c->refs++;
	return c;
}

void config_unref(struct config *c)
{
	if (!c || --c->refs > 0)
		return;
	config_state_clear(&c->state);
	g_free(c);
}

uint64_t config_version(const struct config *c)
{
	return c->state.version;
}

uint64_t config_next_offset(const struct config *c)
{
	return c->state.next_offset;
}

static struct config_state ref_state(const struct config_state *state)
{
	struct config_state copy = *state;

	config_table_ref(copy.teams);
	config_table_ref(copy.services);
	config_history_ref(copy.history);
	return copy;
}

/* A copy of c that skips the record at offset. */
static struct config *skip_offset(const struct config *c, uint64_t offset)
{
	struct config_state state = ref_state(&c->state);

	state.next_offset = offset + 1;
	return create(&state);
}

static const char *kind_name(bool is_team)
{
	return is_team ? "team" : "service";
}

static uint64_t item_version(const struct config_item *item, bool is_team)
{
	return is_team ? item->team.version : item->service.version;
}

static bool reject_removed(const struct apply_ctx *ctx, bool is_team, const char *name)
{
	const struct config_decision *d =
		config_history_find_removal(ctx->base->state.history, is_team, name);

	if (!d)
		return status_set(ctx->st, STATUS_CONFLICT, STEP, "", "%s %s does not exist",
				  kind_name(is_team), name);
	return status_set(ctx->st, STATUS_CONFLICT, STEP, d->author,
			  "%s %s was removed by %s in version %" G_GUINT64_FORMAT,
			  kind_name(is_team), name, d->author, d->version);
}

static bool check_base(const struct apply_ctx *ctx, const Kw__ConfigChange *change, bool is_team,
		       const char *name)
{
	const struct config_state *state = &ctx->base->state;
	struct config_item *item =
		config_table_find(is_team ? state->teams : state->services, name, NULL);

	if (item) {
		uint64_t version = item_version(item, is_team);

		if (change->base_version == version)
			return true;
		return status_set(
			ctx->st, STATUS_CONFLICT, STEP, item->author,
			"%s %s was changed by %s in version %" G_GUINT64_FORMAT
			", after version %" G_GUINT64_FORMAT " that this change is based on",
			kind_name(is_team), name, item->author, version, change->base_version);
	}
	if (change->base_version != 0)
		return reject_removed(ctx, is_team, name);
	if (change->remove)
		return status_set(ctx->st, STATUS_INVALID, STEP, "", "%s %s does not exist",
				  kind_name(is_team), name);
	return true;
}

static void swap_table(struct config_table **table, struct config_table *next)
{
	config_table_unref(*table);
	*table = next;
}

static bool apply_decoded(struct apply_ctx *ctx, const Kw__ConfigChange *change, bool is_team,
			  struct config_item *item)
{
	struct config_table **table = is_team ? &ctx->next.teams : &ctx->next.services;
	GPtrArray *removed = is_team ? ctx->removed_teams : ctx->removed_services;

	if (!check_base(ctx, change, is_team, item->name)) {
		config_item_unref(item);
		return false;
	}
	if (change->remove) {
		swap_table(table, config_table_remove(*table, item->name));
		g_ptr_array_add(removed, g_strdup(item->name));
		config_item_unref(item);
		return true;
	}
	g_strlcpy(item->author, ctx->record->author, sizeof(item->author));
	if (is_team) {
		item->team.version = ctx->next.version;
	} else {
		item->service.version = ctx->next.version;
		g_strlcpy(item->service.author, item->author, sizeof(item->service.author));
	}
	swap_table(table, config_table_put(*table, item));
	return true;
}

static bool decode_change(const Kw__ConfigChange *change, struct config_item *item)
{
	if (change->item_case == KW__CONFIG_CHANGE__ITEM_TEAM)
		return config_decode_team(change->team, &item->team);
	if (change->item_case == KW__CONFIG_CHANGE__ITEM_SERVICE)
		return config_decode_service(change->service, &item->service);
	return false;
}

static bool apply_change(struct apply_ctx *ctx, const Kw__ConfigChange *change, GHashTable *seen)
{
	struct config_item *item = config_item_create();
	bool is_team = change->item_case == KW__CONFIG_CHANGE__ITEM_TEAM;

	if (!decode_change(change, item)) {
		config_item_unref(item);
		return status_set(ctx->st, STATUS_INVALID, STEP, "", "a change is malformed");
	}
	if (!g_hash_table_add(seen, g_strconcat(kind_name(is_team), " ", item->name, NULL))) {
		status_set(ctx->st, STATUS_INVALID, STEP, "", "%s %s is changed twice",
			   kind_name(is_team), item->name);
		config_item_unref(item);
		return false;
	}
	return apply_decoded(ctx, change, is_team, item);
}

/* The team of each service that the record changes must exist. */
static bool check_teams(const struct apply_ctx *ctx)
{
	for (size_t i = 0; i < ctx->record->n_change; i++) {
		const Kw__ConfigChange *change = ctx->record->change[i];
		const char *team;

		if (change->remove || change->item_case != KW__CONFIG_CHANGE__ITEM_SERVICE)
			continue;
		team = change->service->team;
		if (config_table_find(ctx->next.teams, team, NULL))
			continue;
		if (config_history_find_removal(ctx->base->state.history, true, team))
			return reject_removed(ctx, true, team);
		return status_set(ctx->st, STATUS_INVALID, STEP, "", "service %s: no team %s",
				  change->service->name, team);
	}
	return true;
}

/* A team that the record removes must not own a service. */
static bool check_removed_teams(const struct apply_ctx *ctx)
{
	if (ctx->removed_teams->len == 0)
		return true;
	for (uint32_t i = 0; i < config_table_count(ctx->next.services); i++) {
		const struct config_item *item = config_table_at(ctx->next.services, i);

		if (config_table_find(ctx->next.teams, item->service.team, NULL))
			continue;
		return status_set(ctx->st, STATUS_CONFLICT, STEP, item->author,
				  "team %s still owns service %s of %s", item->service.team,
				  item->name, item->author);
	}
	return true;
}

static bool apply_changes(struct apply_ctx *ctx)
{
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t author_size = strlen(ctx->record->author);

	if (author_size == 0 || author_size >= sizeof(((struct config_item *)NULL)->author) ||
	    !g_utf8_validate(ctx->record->author, -1, NULL))
		return status_set(ctx->st, STATUS_INVALID, STEP, "", "the author is not a name");
	if (ctx->record->n_change == 0)
		return status_set(ctx->st, STATUS_INVALID, STEP, "", "the record changes nothing");
	for (size_t i = 0; i < ctx->record->n_change; i++)
		if (!apply_change(ctx, ctx->record->change[i], seen))
			return false;
	return check_teams(ctx) && check_removed_teams(ctx);
}

/* The names as a NULL-terminated vector; NULL if there are none. */
static char **take_names(GPtrArray *names)
{
	if (names->len == 0)
		return NULL;
	g_ptr_array_add(names, NULL);
	return (char **)g_ptr_array_steal(names, NULL);
}

static void add_decision(struct config_state *state, struct config_decision *decision)
{
	struct config_history *next = config_history_add(state->history, decision);

	config_history_unref(state->history);
	state->history = next;
}

static void add_accepted(struct apply_ctx *ctx)
{
	struct config_decision decision = {
		.nonce = ctx->record->nonce,
		.version = ctx->next.version,
		.author = g_strdup(ctx->record->author),
		.removed_teams = take_names(ctx->removed_teams),
		.removed_services = take_names(ctx->removed_services),
	};

	add_decision(&ctx->next, &decision);
}

/* A late duplicate of a rejected record must not be accepted after its author was told. */
static void add_rejected(struct config_state *state, const Kw__ConfigRecord *record,
			 const struct status *st)
{
	struct config_decision decision = {
		.nonce = record->nonce,
		.author = g_strdup(record->author),
		.code = st->code,
		.winner = g_strdup(st->peer),
		.message = g_strdup(st->message),
	};

	if (record->nonce == 0)
		config_decision_clear(&decision);
	else
		add_decision(state, &decision);
}

/* Skips a record that was decided before and reports the same decision. */
static struct config *repeat_decision(const struct config *c, uint64_t offset,
				      const struct config_decision *decision, struct status *st)
{
	if (decision->version == 0)
		status_set(st, (enum status_code)decision->code, STEP, decision->winner, "%s",
			   decision->message);
	return skip_offset(c, offset);
}

static struct config *apply_record(struct config *c, uint64_t offset,
				   const Kw__ConfigRecord *record, struct status *st)
{
	struct apply_ctx ctx = {
		.base = c,
		.record = record,
		.next = ref_state(&c->state),
		.removed_teams = g_ptr_array_new_with_free_func(g_free),
		.removed_services = g_ptr_array_new_with_free_func(g_free),
		.st = st,
	};

	ctx.next.version++;
	if (apply_changes(&ctx)) {
		add_accepted(&ctx);
	} else {
		config_state_clear(&ctx.next);
		ctx.next = ref_state(&c->state);
		add_rejected(&ctx.next, record, st);
	}
	ctx.next.next_offset = offset + 1;
	g_ptr_array_unref(ctx.removed_teams);
	g_ptr_array_unref(ctx.removed_services);
	return create(&ctx.next);
}

/* The version in a snapshot, or NULL if it is not newer than c or is malformed. */
static struct config *decode_newer_snapshot(const struct config *c, const Kw__ConfigSnapshot *pb,
					    struct status *st)
{
	struct config_state state;

	if (pb->next_offset <= c->state.next_offset)
		return NULL;
	if (pb->version < c->state.version || !config_state_decode(pb, &state)) {
		status_set(st, STATUS_INVALID, STEP, "", "malformed snapshot");
		return NULL;
	}
	return create(&state);
}

static struct config *apply_snapshot(struct config *c, uint64_t offset,
				     const Kw__ConfigSnapshot *pb, struct status *st)
{
	struct config *next = NULL;

	if (pb->next_offset <= offset)
		next = decode_newer_snapshot(c, pb, st);
	else
		status_set(st, STATUS_INVALID, STEP, "",
			   "snapshot covers records beyond its own offset");
	if (next) {
		if (next->state.next_offset == offset)
			next->state.next_offset++;
		return next;
	}
	if (offset == c->state.next_offset)
		return skip_offset(c, offset);
	status_set(st, STATUS_LOST, STEP, "",
		   "records before offset %" G_GUINT64_FORMAT " are missing", offset);
	return config_ref(c);
}

struct config *config_apply(struct config *c, uint64_t offset, const uint8_t *data, size_t size,
			    struct status *st)
{
	const struct config_decision *decision;
	Kw__ConfigRecord *record;
	struct status unused;
	struct config *next;

	st = st ? st : &unused;
	if (offset < c->state.next_offset)
		return config_ref(c);
	record = kw__config_record__unpack(NULL, size, data);
	if (record && record->snapshot) {
		next = apply_snapshot(c, offset, record->snapshot, st);
	} else if (offset > c->state.next_offset) {
		status_set(st, STATUS_LOST, STEP, "",
			   "records before offset %" G_GUINT64_FORMAT " are missing", offset);
		next = config_ref(c);
	} else if (!record) {
		status_set(st, STATUS_INVALID, STEP, "",
			   "record at offset %" G_GUINT64_FORMAT " can't be decoded", offset);
		next = skip_offset(c, offset);
	} else if ((decision = config_history_find_nonce(c->state.history, record->nonce))) {
		next = repeat_decision(c, offset, decision, st);
	} else {
		next = apply_record(c, offset, record, st);
	}
	if (record)
		kw__config_record__free_unpacked(record, NULL);
	return next;
}

struct config *config_install(struct config *c, const uint8_t *data, size_t size, struct status *st)
{
	Kw__ConfigRecord *record = kw__config_record__unpack(NULL, size, data);
	struct config *next = NULL;

	if (record && record->snapshot)
		next = decode_newer_snapshot(c, record->snapshot, st);
	else
		status_set(st, STATUS_INVALID, STEP, "", "not a snapshot");
	if (record)
		kw__config_record__free_unpacked(record, NULL);
	return next ? next : config_ref(c);
}

uint8_t *config_encode_snapshot(const struct config *c, size_t *size)
{
	return config_state_encode(&c->state, size);
}

uint64_t config_nonce_version(const struct config *c, uint64_t nonce)
{
	const struct config_decision *d = config_history_find_nonce(c->state.history, nonce);

	return d ? d->version : 0;
}

const struct config_team *config_team(const struct config *c, const char *name)
{
	const struct config_item *item = config_table_find(c->state.teams, name, NULL);

	return item ? &item->team : NULL;
}

const struct config_service *config_service(const struct config *c, const char *name)
{
	const struct config_item *item = config_table_find(c->state.services, name, NULL);

	return item ? &item->service : NULL;
}

const struct config_team *config_team_at(const struct config *c, size_t i)
{
	const struct config_item *item = config_table_at(c->state.teams, i);

	return item ? &item->team : NULL;
}

const struct config_service *config_service_at(const struct config *c, size_t i)
{
	const struct config_item *item = config_table_at(c->state.services, i);

	return item ? &item->service : NULL;
}

const char *config_team_author(const struct config *c, const char *name)
{
	const struct config_item *item = config_table_find(c->state.teams, name, NULL);

	return item ? item->author : NULL;
}

uint32_t config_team_index(const struct config *c, const char *name)
{
	uint32_t index = UINT32_MAX;

	config_table_find(c->state.teams, name, &index);
	return index;
}

uint32_t config_service_index(const struct config *c, const char *name)
{
	uint32_t index = UINT32_MAX;

	config_table_find(c->state.services, name, &index);
	return index;
}
