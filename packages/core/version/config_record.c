#include <string.h>

#include <glib.h>

#include "config_record.h"

static bool copy_name(char *to, size_t size, const char *from)
{
	return from[0] != '\0' && g_utf8_validate(from, -1, NULL) &&
	       g_strlcpy(to, from, size) < size;
}

bool config_decode_team(const Kw__ConfigTeam *pb, struct config_team *team)
{
	*team = (struct config_team){
		.weight = pb->weight,
		.quota = { .mem_bytes = pb->quota_mem_bytes,
			   .cpu_milli = pb->quota_cpu_milli,
			   .accel = pb->quota_accel },
	};
	return copy_name(team->name, sizeof(team->name), pb->name) &&
	       (pb->home_dc[0] == '\0' ||
		copy_name(team->home_dc, sizeof(team->home_dc), pb->home_dc));
}

bool config_decode_service(const Kw__ConfigService *pb, struct config_service *service)
{
	if (pb->work_class >= WORK_CLASSES)
		return false;
	*service = (struct config_service){
		.class = (enum work_class)pb->work_class,
		.idempotency = pb->non_idempotent ? NON_IDEMPOTENT : IDEMPOTENT,
		.size = { .mem_bytes = pb->mem_bytes,
			  .cpu_milli = pb->cpu_milli,
			  .accel = pb->accel },
		.count = pb->count,
		.run_ms = pb->run_ms,
		.deadline_ms = pb->deadline_ms,
		.answer_max_bytes = pb->answer_max_bytes,
		.preemptible = pb->preemptible,
		.throttleable = pb->throttleable,
	};
	return copy_name(service->name, sizeof(service->name), pb->name) &&
	       copy_name(service->team, sizeof(service->team), pb->team);
}

/* The result points to strings of team. */
static Kw__ConfigTeam *encode_team(const struct config_team *team)
{
	Kw__ConfigTeam *pb = g_new(Kw__ConfigTeam, 1);

	kw__config_team__init(pb);
	pb->name = (char *)team->name;
	pb->home_dc = (char *)team->home_dc;
	pb->weight = team->weight;
	pb->quota_mem_bytes = team->quota.mem_bytes;
	pb->quota_cpu_milli = team->quota.cpu_milli;
	pb->quota_accel = team->quota.accel;
	return pb;
}

static Kw__ConfigService *encode_service(const struct config_service *service)
{
	Kw__ConfigService *pb = g_new(Kw__ConfigService, 1);

	kw__config_service__init(pb);
	pb->name = (char *)service->name;
	pb->team = (char *)service->team;
	pb->work_class = service->class;
	pb->non_idempotent = service->idempotency == NON_IDEMPOTENT;
	pb->mem_bytes = service->size.mem_bytes;
	pb->cpu_milli = service->size.cpu_milli;
	pb->accel = service->size.accel;
	pb->count = service->count;
	pb->run_ms = service->run_ms;
	pb->deadline_ms = service->deadline_ms;
	pb->answer_max_bytes = service->answer_max_bytes;
	pb->preemptible = service->preemptible;
	pb->throttleable = service->throttleable;
	return pb;
}

static Kw__ConfigChange *encode_change(const struct config_change *change)
{
	Kw__ConfigChange *pb = g_new(Kw__ConfigChange, 1);

	kw__config_change__init(pb);
	pb->base_version = change->base_version;
	pb->remove = change->remove;
	if (change->is_team) {
		pb->item_case = KW__CONFIG_CHANGE__ITEM_TEAM;
		pb->team = encode_team(&change->team);
		if (change->remove)
			pb->team->home_dc = (char *)"";
		return pb;
	}
	pb->item_case = KW__CONFIG_CHANGE__ITEM_SERVICE;
	pb->service = encode_service(&change->service);
	return pb;
}

static uint8_t *pack(const Kw__ConfigRecord *record, size_t *size)
{
	uint8_t *data;

	*size = kw__config_record__get_packed_size(record);
	data = g_malloc(*size + 1);
	kw__config_record__pack(record, data);
	return data;
}

uint8_t *config_encode_record(const char *author, uint64_t nonce,
			      const struct config_change *change, size_t n, size_t *size)
{
	Kw__ConfigRecord record = KW__CONFIG_RECORD__INIT;
	uint8_t *data;

	record.author = (char *)author;
	record.nonce = nonce;
	record.n_change = n;
	record.change = g_new(Kw__ConfigChange *, n);
	for (size_t i = 0; i < n; i++)
		record.change[i] = encode_change(&change[i]);
	data = pack(&record, size);
	for (size_t i = 0; i < n; i++) {
		/* The union's members are both plain allocations, so either may be freed. */
		g_free(record.change[i]->team);
		g_free(record.change[i]);
	}
	g_free(record.change);
	return data;
}

uint64_t config_record_nonce(const uint8_t *data, size_t size)
{
	Kw__ConfigRecord *record = kw__config_record__unpack(NULL, size, data);
	uint64_t nonce;

	if (!record)
		return 0;
	nonce = record->snapshot ? 0 : record->nonce;
	kw__config_record__free_unpacked(record, NULL);
	return nonce;
}

static Kw__ConfigItem *encode_item(const struct config_item *item, bool is_team)
{
	Kw__ConfigItem *pb = g_new(Kw__ConfigItem, 1);

	kw__config_item__init(pb);
	pb->author = (char *)item->author;
	if (is_team) {
		pb->version = item->team.version;
		pb->item_case = KW__CONFIG_ITEM__ITEM_TEAM;
		pb->team = encode_team(&item->team);
		return pb;
	}
	pb->version = item->service.version;
	pb->item_case = KW__CONFIG_ITEM__ITEM_SERVICE;
	pb->service = encode_service(&item->service);
	return pb;
}

static Kw__ConfigDecision *encode_decision(const struct config_decision *d)
{
	Kw__ConfigDecision *pb = g_new(Kw__ConfigDecision, 1);

	kw__config_decision__init(pb);
	pb->nonce = d->nonce;
	pb->version = d->version;
	pb->author = d->author;
	pb->code = d->code;
	pb->winner = d->winner ? d->winner : (char *)"";
	pb->message = d->message ? d->message : (char *)"";
	pb->removed_team = d->removed_teams;
	pb->n_removed_team = d->removed_teams ? g_strv_length(d->removed_teams) : 0;
	pb->removed_service = d->removed_services;
	pb->n_removed_service = d->removed_services ? g_strv_length(d->removed_services) : 0;
	return pb;
}

uint8_t *config_state_encode(const struct config_state *state, size_t *size)
{
	Kw__ConfigRecord record = KW__CONFIG_RECORD__INIT;
	Kw__ConfigSnapshot pb = KW__CONFIG_SNAPSHOT__INIT;
	uint32_t n_teams = config_table_count(state->teams),
		 n_services = config_table_count(state->services);
	uint8_t *data;

	record.snapshot = &pb;
	pb.version = state->version;
	pb.next_offset = state->next_offset;
	pb.item = g_new(Kw__ConfigItem *, n_teams + n_services);
	for (uint32_t i = 0; i < n_teams; i++)
		pb.item[pb.n_item++] = encode_item(config_table_at(state->teams, i), true);
	for (uint32_t i = 0; i < n_services; i++)
		pb.item[pb.n_item++] = encode_item(config_table_at(state->services, i), false);
	pb.decision = g_new(Kw__ConfigDecision *, config_history_count(state->history));
	for (size_t i = 0; i < config_history_count(state->history); i++)
		pb.decision[pb.n_decision++] =
			encode_decision(config_history_at(state->history, i));
	data = pack(&record, size);
	for (size_t i = 0; i < pb.n_item; i++) {
		g_free(pb.item[i]->team);
		g_free(pb.item[i]);
	}
	for (size_t i = 0; i < pb.n_decision; i++)
		g_free(pb.decision[i]);
	g_free(pb.item);
	g_free(pb.decision);
	return data;
}

static struct config_item *decode_item(const Kw__ConfigItem *pb, bool *is_team)
{
	struct config_item *item = config_item_create();
	bool ok = false;

	*is_team = pb->item_case == KW__CONFIG_ITEM__ITEM_TEAM;
	if (*is_team) {
		ok = config_decode_team(pb->team, &item->team);
		item->team.version = pb->version;
	} else if (pb->item_case == KW__CONFIG_ITEM__ITEM_SERVICE) {
		ok = config_decode_service(pb->service, &item->service);
		item->service.version = pb->version;
		g_strlcpy(item->service.author, pb->author, sizeof(item->service.author));
	}
	if (ok && copy_name(item->author, sizeof(item->author), pb->author))
		return item;
	config_item_unref(item);
	return NULL;
}

static char **copy_names(char **names, size_t n)
{
	char **copy;

	if (n == 0)
		return NULL;
	copy = g_new0(char *, n + 1);
	for (size_t i = 0; i < n; i++)
		copy[i] = g_strdup(names[i]);
	return copy;
}

static void decode_history(const Kw__ConfigSnapshot *pb, struct config_state *state)
{
	for (size_t i = 0; i < pb->n_decision; i++) {
		const Kw__ConfigDecision *from = pb->decision[i];
		struct config_decision d = {
			.nonce = from->nonce,
			.version = from->version,
			.author = g_strdup(from->author),
			.removed_teams = copy_names(from->removed_team, from->n_removed_team),
			.removed_services =
				copy_names(from->removed_service, from->n_removed_service),
			.code = from->code,
			.winner = g_strdup(from->winner),
			.message = g_strdup(from->message),
		};
		struct config_history *next = config_history_add(state->history, &d);

		config_history_unref(state->history);
		state->history = next;
	}
}

bool config_state_decode(const Kw__ConfigSnapshot *pb, struct config_state *state)
{
	*state = (struct config_state){
		.version = pb->version,
		.next_offset = pb->next_offset,
		.teams = config_table_create(),
		.services = config_table_create(),
		.history = config_history_create(),
	};
	for (size_t i = 0; i < pb->n_item; i++) {
		bool is_team;
		struct config_item *item = decode_item(pb->item[i], &is_team);
		struct config_table **table = is_team ? &state->teams : &state->services;
		struct config_table *next;

		if (!item) {
			config_state_clear(state);
			return false;
		}
		next = config_table_put(*table, item);
		config_table_unref(*table);
		*table = next;
	}
	decode_history(pb, state);
	return true;
}

void config_state_clear(struct config_state *state)
{
	config_table_unref(state->teams);
	config_table_unref(state->services);
	config_history_unref(state->history);
	*state = (struct config_state){ 0 };
}
