#define G_LOG_DOMAIN "membership"

#include <string.h>

#include <xxhash.h>

#include "clock.h"
#include "beat.h"
#include "log.h"

#define ROOMS_MAX 32
/* Room goes to other data centres at most so often: spilling over there is rare. */
#define FAR_ROOM_MS 10000
/* Changes of workers are gathered for so long before they are told. */
#define GATHER_MS 50

/* Free room as it was last told to all daemons of one kind. */
struct told {
	struct service_load room[ROOMS_MAX];
	size_t n;
};

/* What a peer's last heartbeat said. */
struct heard {
	uint64_t config_version;
	uint64_t list_hash;
};

struct beat {
	struct beat_deps deps;
	struct told near;	 /* to this data centre */
	struct told far;	 /* to the others */
	int64_t far_ms;		 /* last heartbeat to the others */
	int64_t far_room_ms;	 /* last one with room */
	GHashTable *peer_config; /* name -> struct heard */
	void (*on_agreed)(void *ctx);
	void *on_agreed_ctx;
	uint64_t list_hash; /* of the daemons of this data centre in the last list of VMs */
	uint64_t seq;
	guint timer;
	guint gather;
	uint32_t live_here; /* live daemons of this data centre, at the last tick */
	bool draining;
	bool has_list;
};

static uint32_t count_live_here(const struct beat *b)
{
	const struct member_info *m;
	enum member_state state;
	uint32_t n = 0;

	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++)
		n += strcmp(m->dc, b->deps.set->dc) == 0 && state == MEMBER_ALIVE;
	return MAX(n, 1U);
}

/* What hangs on who is alive. */
static void follow_members(struct beat *b)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++) {
		if (strcmp(m->name, b->deps.set->name) == 0)
			continue;
		if (state == MEMBER_DEAD || state == MEMBER_LEAVING)
			loadtable_forget(b->deps.rooms, m->name);
		if (state == MEMBER_DEAD && peers_is_up(b->deps.peers, m->name))
			peers_drop(b->deps.peers, m->name);
	}
	fleet_claim(racks_fleet(b->deps.racks));
	if (b->live_here != count_live_here(b)) {
		b->live_here = count_live_here(b);
		racks_config(b->deps.racks, confd_current(b->deps.confd), b->live_here);
	}
}

static void fill_rooms(Kw__Room *row, Kw__Room **list, const struct service_load *room, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		kw__room__init(&row[i]);
		row[i].service = (char *)room[i].service;
		row[i].free_slots = room[i].free_slots;
		row[i].queued = room[i].queued;
		row[i].wait_ms = room[i].wait_ms;
		row[i].free_cpu_milli = room[i].free.cpu_milli;
		row[i].free_mem_bytes = room[i].free.mem_bytes;
		row[i].free_accel = room[i].free.accel;
		list[i] = &row[i];
	}
}

static void send_one(struct beat *b, const char *peer, const struct told *room, bool unchanged)
{
	Kw__Beat beat = KW__BEAT__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Kw__Room row[ROOMS_MAX];
	Kw__Room *list[ROOMS_MAX];

	beat.seq = b->seq;
	beat.draining = b->draining;
	beat.config_version = config_version(confd_current(b->deps.confd));
	beat.config_offset = config_next_offset(confd_current(b->deps.confd));
	beat.room_unchanged = unchanged;
	beat.list_hash = b->list_hash;
	if (!unchanged) {
		fill_rooms(row, list, room->room, room->n);
		beat.room = list;
		beat.n_room = room->n;
	}
	e.body_case = KW__ENVELOPE__BODY_BEAT;
	e.beat = &beat;
	peers_send(b->deps.peers, peer, &e, 0);
}

static void send_where(struct beat *b, bool near, const struct told *room, bool unchanged)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++)
		if (strcmp(m->name, b->deps.set->name) != 0 &&
		    (strcmp(m->dc, b->deps.set->dc) == 0) == near)
			send_one(b, m->name, room, unchanged);
}

static void get_room(struct beat *b, struct told *now)
{
	*now = (struct told){ 0 };
	if (!b->draining)
		now->n = racks_rooms(b->deps.racks, now->room, ROOMS_MAX);
	loadtable_set(b->deps.rooms, b->deps.set->name, b->deps.set->dc, b->deps.set->region,
		      now->room, now->n);
}

static bool differs(const struct told *a, const struct told *b)
{
	return service_loads_differ(a->room, a->n, b->room, b->n);
}

static void send_near(struct beat *b, const struct told *now)
{
	bool changed = differs(&b->near, now);

	send_where(b, true, now, !changed);
	if (changed)
		b->near = *now;
}

static void send_far(struct beat *b, const struct told *now)
{
	bool changed =
		b->draining || (now_ms() - b->far_room_ms >= FAR_ROOM_MS && differs(&b->far, now));

	send_where(b, false, now, !changed);
	b->far_ms = now_ms();
	if (!changed)
		return;
	b->far = *now;
	b->far_room_ms = b->far_ms;
}

static void send_beats(struct beat *b, bool far_too)
{
	struct told now;

	b->seq++;
	get_room(b, &now);
	send_near(b, &now);
	if (far_too || now_ms() - b->far_ms >= b->deps.set->far_beat_ms)
		send_far(b, &now);
}

static gboolean on_tick(gpointer data)
{
	struct beat *b = data;

	peers_dial(b->deps.peers);
	if (members_tick(b->deps.members, now_ms()))
		follow_members(b);
	send_beats(b, false);
	if (b->on_agreed && beat_list_agreed(b))
		b->on_agreed(b->on_agreed_ctx);
	return G_SOURCE_CONTINUE;
}

static void take_rooms(struct beat *b, const struct member_info *m, const Kw__Beat *beat)
{
	struct service_load room[ROOMS_MAX] = { 0 };
	size_t n = MIN(beat->n_room, ROOMS_MAX);

	for (size_t i = 0; i < n; i++) {
		const Kw__Room *row = beat->room[i];

		room[i] = (struct service_load){
			.service = row->service,
			.free_slots = row->free_slots,
			.queued = row->queued,
			.wait_ms = row->wait_ms,
			.free = { .cpu_milli = (uint32_t)row->free_cpu_milli,
				  .mem_bytes = row->free_mem_bytes,
				  .accel = row->free_accel },
		};
	}
	if (beat->draining)
		loadtable_forget(b->deps.rooms, m->name);
	else if (beat->room_unchanged)
		loadtable_set_unchanged(b->deps.rooms, m->name);
	else
		loadtable_set(b->deps.rooms, m->name, m->dc, m->region, room, n);
}

static void on_beat(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct beat *b = ctx;
	const struct member_info *m = members_find(b->deps.members, peer);
	struct heard *h = g_new0(struct heard, 1);

	h->config_version = e->beat->config_version;
	h->list_hash = e->beat->list_hash;
	g_hash_table_insert(b->peer_config, g_strdup(peer), h);
	if (m)
		take_rooms(b, m, e->beat);
	confd_heard(b->deps.confd, peer, e->beat->config_offset);
	/* A daemon that drains hands its racks over now, not at the next tick. */
	if (members_tick(b->deps.members, now_ms()))
		follow_members(b);
}

static void on_peer(void *ctx, const char *peer, bool up)
{
	struct beat *b = ctx;
	struct told now;

	if (!up) {
		loadtable_forget(b->deps.rooms, peer);
		g_hash_table_remove(b->peer_config, peer);
		return;
	}
	/* Its racks are let go of now: by the next tick they might be opened again here. */
	if (members_tick(b->deps.members, now_ms()))
		follow_members(b);
	get_room(b, &now);
	send_one(b, peer, &now, false);
}

static void on_config(void *ctx, const struct config *next)
{
	struct beat *b = ctx;

	racks_config(b->deps.racks, next, b->live_here);
	/* Daemons that can't reach the log hear of the new version by this. */
	if (b->timer)
		send_beats(b, true);
}

static gboolean on_gathered(gpointer data)
{
	struct beat *b = data;

	b->gather = 0;
	send_beats(b, false);
	return G_SOURCE_REMOVE;
}

static void on_workers(void *ctx)
{
	struct beat *b = ctx;

	if (!b->gather)
		b->gather = g_timeout_add(GATHER_MS, on_gathered, b);
}

void beat_vms(struct beat *b, const struct vm *vm, size_t n)
{
	g_autofree struct member_info *info = g_new0(struct member_info, n + 1);
	size_t daemons = 0;
	uint64_t hash = 1;

	for (size_t i = 0; i < n; i++) {
		struct member_info *m = &info[daemons];

		if (!vm[i].is_entry)
			continue;
		/* A sum, so that the order of the list does not count. */
		if (strcmp(vm[i].dc, b->deps.set->dc) == 0)
			hash += XXH64(vm[i].name, strlen(vm[i].name), vm[i].leaving);
		g_strlcpy(m->name, vm[i].name, sizeof(m->name));
		g_strlcpy(m->dc, vm[i].dc, sizeof(m->dc));
		g_strlcpy(m->region, vm[i].region, sizeof(m->region));
		g_strlcpy(m->host, vm[i].host, sizeof(m->host));
		m->port = vm[i].port;
		m->leaving = vm[i].leaving;
		daemons++;
	}
	b->has_list = true;
	b->list_hash = MAX(hash, 1);
	if (members_set_list(b->deps.members, info, daemons, now_ms())) {
		peers_dial(b->deps.peers);
		follow_members(b);
	}
	fleet_list(racks_fleet(b->deps.racks), vm, n);
}

struct beat *beat_create(const struct beat_deps *deps)
{
	struct beat *b = g_new0(struct beat, 1);

	b->deps = *deps;
	b->live_here = 1;
	b->peer_config = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_BEAT, on_beat, b);
	peers_on_state(deps->peers, on_peer, b);
	confd_on_change(deps->confd, on_config, b);
	racks_on_change(deps->racks, on_workers, b);
	return b;
}

void beat_start(struct beat *b)
{
	b->timer = g_timeout_add(b->deps.set->beat_ms, on_tick, b);
	on_tick(b);
}

void beat_drain(struct beat *b)
{
	b->draining = true;
	members_heartbeat(b->deps.members, b->deps.set->name, b->deps.incarnation, true, now_ms());
	send_beats(b, true);
}

void beat_destroy(struct beat *b)
{
	if (!b)
		return;
	if (b->timer)
		g_source_remove(b->timer);
	if (b->gather)
		g_source_remove(b->gather);
	g_hash_table_destroy(b->peer_config);
	g_free(b);
}

uint64_t beat_peer_config(const struct beat *b, const char *peer)
{
	const struct heard *h = g_hash_table_lookup(b->peer_config, peer);

	return h ? h->config_version : 0;
}

bool beat_list_agreed(const struct beat *b)
{
	const struct member_info *m;
	const struct heard *h;
	enum member_state state;

	if (!b->list_hash)
		return false;
	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++) {
		if (strcmp(m->dc, b->deps.set->dc) != 0 || strcmp(m->name, b->deps.set->name) == 0)
			continue;
		h = g_hash_table_lookup(b->peer_config, m->name);
		if (!h || h->list_hash != b->list_hash || !peers_is_up(b->deps.peers, m->name))
			return false;
	}
	return true;
}

void beat_on_agreed(struct beat *b, void (*fn)(void *ctx), void *ctx)
{
	b->on_agreed = fn;
	b->on_agreed_ctx = ctx;
}

bool beat_ready(const struct beat *b)
{
	return b->has_list && confd_in_force(b->deps.confd);
}
