#define G_LOG_DOMAIN "membership"

#include <string.h>

#include <xxhash.h>

#include "clock.h"
#include "heartbeat.h"
#include "log.h"

#define LOADS_MAX 32
/* Load is sent to other data centres at most this often: requests rarely overflow to them. */
#define REMOTE_LOAD_INTERVAL_MS 10000
/* Delay that collects changes of workers' states into one heartbeat. */
#define WORKER_CHANGE_DELAY_MS 50

/* Load as last sent to the daemons of the local or of the remote data centres. */
struct load_report {
	struct service_load load[LOADS_MAX];
	size_t n;
};

/* From a peer's last heartbeat. */
struct peer_report {
	uint64_t config_version;
	uint64_t vm_list_hash;
};

struct heartbeat {
	struct heartbeat_deps deps;
	struct load_report local_report;  /* last load sent to this data centre */
	struct load_report remote_report; /* last load sent to the other data centres */
	int64_t remote_sent_ms;		  /* when the last remote heartbeat was sent */
	int64_t remote_load_sent_ms;	  /* when the last remote heartbeat with load was sent */
	GHashTable *peer_reports;	  /* name -> struct peer_report */
	void (*on_vm_list_agreed)(void *ctx);
	void *on_vm_list_agreed_ctx;
	uint64_t vm_list_hash; /* of the local daemons in the VM list, 0 if not read */
	uint64_t seq;
	guint timer;
	guint worker_change_timer;
	uint32_t live_daemons; /* in this data centre, never below 1 */
	bool draining;
	bool has_vm_list;
};

static uint32_t count_live_daemons(const struct heartbeat *b)
{
	const struct member_info *m;
	enum member_state state;
	uint32_t n = 0;

	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++)
		n += strcmp(m->dc, b->deps.set->dc) == 0 && state == MEMBER_ALIVE;
	return MAX(n, 1U);
}

/* Updates whatever depends on which members are alive. */
static void apply_member_changes(struct heartbeat *b)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++) {
		if (strcmp(m->name, b->deps.set->name) == 0)
			continue;
		if (state == MEMBER_DEAD || state == MEMBER_LEAVING)
			loadtable_forget(b->deps.loads, m->name);
		if (state == MEMBER_DEAD && peers_is_up(b->deps.peers, m->name))
			peers_drop(b->deps.peers, m->name);
	}
	fleet_update_owned(racks_fleet(b->deps.racks));
	if (b->live_daemons != count_live_daemons(b)) {
		b->live_daemons = count_live_daemons(b);
		racks_config(b->deps.racks, config_sync_current(b->deps.config_sync),
			     b->live_daemons);
	}
}

static void encode_loads(Kw__Room *row, Kw__Room **list, const struct service_load *load, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		kw__room__init(&row[i]);
		row[i].service = (char *)load[i].service;
		row[i].free_slots = load[i].free_slots;
		row[i].queued = load[i].queued;
		row[i].wait_ms = load[i].wait_ms;
		row[i].free_cpu_milli = load[i].free.cpu_milli;
		row[i].free_mem_bytes = load[i].free.mem_bytes;
		row[i].free_accel = load[i].free.accel;
		list[i] = &row[i];
	}
}

static void send_to(struct heartbeat *b, const char *peer, const struct load_report *report,
		    bool unchanged)
{
	Kw__Beat beat = KW__BEAT__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Kw__Room row[LOADS_MAX];
	Kw__Room *list[LOADS_MAX];

	beat.seq = b->seq;
	beat.draining = b->draining;
	beat.config_version = config_version(config_sync_current(b->deps.config_sync));
	beat.config_offset = config_next_offset(config_sync_current(b->deps.config_sync));
	beat.room_unchanged = unchanged;
	beat.list_hash = b->vm_list_hash;
	if (!unchanged) {
		encode_loads(row, list, report->load, report->n);
		beat.room = list;
		beat.n_room = report->n;
	}
	e.body_case = KW__ENVELOPE__BODY_BEAT;
	e.beat = &beat;
	peers_send(b->deps.peers, peer, &e, 0);
}

static void send_to_dcs(struct heartbeat *b, bool local, const struct load_report *report,
			bool unchanged)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++)
		if (strcmp(m->name, b->deps.set->name) != 0 &&
		    (strcmp(m->dc, b->deps.set->dc) == 0) == local)
			send_to(b, m->name, report, unchanged);
}

static void read_load(struct heartbeat *b, struct load_report *now)
{
	*now = (struct load_report){ 0 };
	if (!b->draining)
		now->n = racks_list_load(b->deps.racks, now->load, LOADS_MAX);
	loadtable_set(b->deps.loads, b->deps.set->name, b->deps.set->dc, b->deps.set->region,
		      now->load, now->n);
}

static bool load_changed(const struct load_report *a, const struct load_report *b)
{
	return service_loads_differ(a->load, a->n, b->load, b->n);
}

static void send_to_local_dc(struct heartbeat *b, const struct load_report *now)
{
	bool changed = load_changed(&b->local_report, now);

	send_to_dcs(b, true, now, !changed);
	if (changed)
		b->local_report = *now;
}

static void send_to_remote_dcs(struct heartbeat *b, const struct load_report *now)
{
	bool changed =
		b->draining || (now_ms() - b->remote_load_sent_ms >= REMOTE_LOAD_INTERVAL_MS &&
				load_changed(&b->remote_report, now));

	send_to_dcs(b, false, now, !changed);
	b->remote_sent_ms = now_ms();
	if (!changed)
		return;
	b->remote_report = *now;
	b->remote_load_sent_ms = b->remote_sent_ms;
}

static void send_heartbeats(struct heartbeat *b, bool to_remote)
{
	struct load_report now;

	b->seq++;
	read_load(b, &now);
	send_to_local_dc(b, &now);
	if (to_remote || now_ms() - b->remote_sent_ms >= b->deps.set->far_beat_ms)
		send_to_remote_dcs(b, &now);
}

static gboolean on_tick(gpointer data)
{
	struct heartbeat *b = data;

	peers_dial(b->deps.peers);
	if (members_tick(b->deps.members, now_ms()))
		apply_member_changes(b);
	send_heartbeats(b, false);
	if (b->on_vm_list_agreed && heartbeat_vm_list_agreed(b))
		b->on_vm_list_agreed(b->on_vm_list_agreed_ctx);
	return G_SOURCE_CONTINUE;
}

static void store_peer_load(struct heartbeat *b, const struct member_info *m, const Kw__Beat *beat)
{
	struct service_load load[LOADS_MAX] = { 0 };
	size_t n = MIN(beat->n_room, LOADS_MAX);

	for (size_t i = 0; i < n; i++) {
		const Kw__Room *row = beat->room[i];

		load[i] = (struct service_load){
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
		loadtable_forget(b->deps.loads, m->name);
	else if (beat->room_unchanged)
		loadtable_set_unchanged(b->deps.loads, m->name);
	else
		loadtable_set(b->deps.loads, m->name, m->dc, m->region, load, n);
}

static void on_heartbeat(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct heartbeat *b = ctx;
	const struct member_info *m = members_find(b->deps.members, peer);
	struct peer_report *h = g_new0(struct peer_report, 1);

	h->config_version = e->beat->config_version;
	h->vm_list_hash = e->beat->list_hash;
	g_hash_table_insert(b->peer_reports, g_strdup(peer), h);
	if (m)
		store_peer_load(b, m, e->beat);
	config_sync_peer_offset(b->deps.config_sync, peer, e->beat->config_offset);
	/* Take over the racks of a draining daemon now rather than at the next tick. */
	if (members_tick(b->deps.members, now_ms()))
		apply_member_changes(b);
}

static void on_peer(void *ctx, const char *peer, bool up)
{
	struct heartbeat *b = ctx;
	struct load_report now;

	if (!up) {
		loadtable_forget(b->deps.loads, peer);
		g_hash_table_remove(b->peer_reports, peer);
		return;
	}
	/*
	 * Release the racks that the peer owns now: by the next tick, sessions with their workers
	 * might have been opened again from here.
	 */
	if (members_tick(b->deps.members, now_ms()))
		apply_member_changes(b);
	read_load(b, &now);
	send_to(b, peer, &now, false);
}

static void on_config(void *ctx, const struct config *next)
{
	struct heartbeat *b = ctx;

	racks_config(b->deps.racks, next, b->live_daemons);
	/* Daemons that can't reach the log learn of the new version from this heartbeat. */
	if (b->timer)
		send_heartbeats(b, true);
}

static gboolean on_worker_change_timer(gpointer data)
{
	struct heartbeat *b = data;

	b->worker_change_timer = 0;
	send_heartbeats(b, false);
	return G_SOURCE_REMOVE;
}

static void on_worker_change(void *ctx)
{
	struct heartbeat *b = ctx;

	if (!b->worker_change_timer)
		b->worker_change_timer =
			g_timeout_add(WORKER_CHANGE_DELAY_MS, on_worker_change_timer, b);
}

void heartbeat_set_vms(struct heartbeat *b, const struct vm *vm, size_t n)
{
	g_autofree struct member_info *info = g_new0(struct member_info, n + 1);
	size_t daemons = 0;
	uint64_t hash = 1;

	for (size_t i = 0; i < n; i++) {
		struct member_info *m = &info[daemons];

		if (!vm[i].is_entry)
			continue;
		/* A sum, so that the order of the list does not matter. */
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
	b->has_vm_list = true;
	b->vm_list_hash = MAX(hash, 1);
	if (members_set_list(b->deps.members, info, daemons, now_ms())) {
		peers_dial(b->deps.peers);
		apply_member_changes(b);
	}
	fleet_set_vms(racks_fleet(b->deps.racks), vm, n);
}

struct heartbeat *heartbeat_create(const struct heartbeat_deps *deps)
{
	struct heartbeat *b = g_new0(struct heartbeat, 1);

	b->deps = *deps;
	b->live_daemons = 1;
	b->peer_reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_BEAT, on_heartbeat, b);
	peers_on_state(deps->peers, on_peer, b);
	config_sync_on_change(deps->config_sync, on_config, b);
	racks_on_change(deps->racks, on_worker_change, b);
	return b;
}

void heartbeat_start(struct heartbeat *b)
{
	b->timer = g_timeout_add(b->deps.set->beat_ms, on_tick, b);
	on_tick(b);
}

void heartbeat_drain(struct heartbeat *b)
{
	b->draining = true;
	members_heartbeat(b->deps.members, b->deps.set->name, b->deps.incarnation, true, now_ms());
	send_heartbeats(b, true);
}

void heartbeat_destroy(struct heartbeat *b)
{
	if (!b)
		return;
	if (b->timer)
		g_source_remove(b->timer);
	if (b->worker_change_timer)
		g_source_remove(b->worker_change_timer);
	g_hash_table_destroy(b->peer_reports);
	g_free(b);
}

uint64_t heartbeat_peer_config_version(const struct heartbeat *b, const char *peer)
{
	const struct peer_report *h = g_hash_table_lookup(b->peer_reports, peer);

	return h ? h->config_version : 0;
}

bool heartbeat_vm_list_agreed(const struct heartbeat *b)
{
	const struct member_info *m;
	const struct peer_report *h;
	enum member_state state;

	if (!b->vm_list_hash)
		return false;
	for (size_t i = 0; (m = members_get(b->deps.members, i, &state)); i++) {
		if (strcmp(m->dc, b->deps.set->dc) != 0 || strcmp(m->name, b->deps.set->name) == 0)
			continue;
		h = g_hash_table_lookup(b->peer_reports, m->name);
		if (!h || h->vm_list_hash != b->vm_list_hash ||
		    !peers_is_up(b->deps.peers, m->name))
			return false;
	}
	return true;
}

void heartbeat_on_vm_list_agreed(struct heartbeat *b, void (*fn)(void *ctx), void *ctx)
{
	b->on_vm_list_agreed = fn;
	b->on_vm_list_agreed_ctx = ctx;
}

bool heartbeat_ready(const struct heartbeat *b)
{
	return b->has_vm_list && config_sync_loaded(b->deps.config_sync);
}
