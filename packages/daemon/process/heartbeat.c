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

static uint32_t count_live_daemons(const struct heartbeat *hb)
{
	const struct member_info *m;
	enum member_state state;
	uint32_t n = 0;

	for (size_t i = 0; (m = members_get(hb->deps.members, i, &state)); i++)
		n += strcmp(m->dc, hb->deps.set->dc) == 0 && state == MEMBER_ALIVE;
	return MAX(n, 1U);
}

/* Updates whatever depends on which members are alive. */
static void apply_member_changes(struct heartbeat *hb)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(hb->deps.members, i, &state)); i++) {
		if (strcmp(m->name, hb->deps.set->name) == 0)
			continue;
		if (state == MEMBER_DEAD || state == MEMBER_LEAVING)
			loadtable_forget(hb->deps.loads, m->name);
		if (state == MEMBER_DEAD && peers_is_up(hb->deps.peers, m->name))
			peers_drop(hb->deps.peers, m->name);
	}
	fleet_update_owned(racks_fleet(hb->deps.racks));
	if (hb->live_daemons != count_live_daemons(hb)) {
		hb->live_daemons = count_live_daemons(hb);
		racks_config(hb->deps.racks, config_sync_current(hb->deps.config_sync),
			     hb->live_daemons);
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

static void send_to(struct heartbeat *hb, const char *peer, const struct load_report *report,
		    bool unchanged)
{
	Kw__Beat beat = KW__BEAT__INIT;
	Kw__Envelope e = KW__ENVELOPE__INIT;
	Kw__Room row[LOADS_MAX];
	Kw__Room *list[LOADS_MAX];

	beat.seq = hb->seq;
	beat.draining = hb->draining;
	beat.config_version = config_version(config_sync_current(hb->deps.config_sync));
	beat.config_offset = config_next_offset(config_sync_current(hb->deps.config_sync));
	beat.room_unchanged = unchanged;
	beat.list_hash = hb->vm_list_hash;
	if (!unchanged) {
		encode_loads(row, list, report->load, report->n);
		beat.room = list;
		beat.n_room = report->n;
	}
	e.body_case = KW__ENVELOPE__BODY_BEAT;
	e.beat = &beat;
	peers_send(hb->deps.peers, peer, &e, 0);
}

static void send_to_dcs(struct heartbeat *hb, bool local, const struct load_report *report,
			bool unchanged)
{
	const struct member_info *m;
	enum member_state state;

	for (size_t i = 0; (m = members_get(hb->deps.members, i, &state)); i++)
		if (strcmp(m->name, hb->deps.set->name) != 0 &&
		    (strcmp(m->dc, hb->deps.set->dc) == 0) == local)
			send_to(hb, m->name, report, unchanged);
}

static void read_load(struct heartbeat *hb, struct load_report *current)
{
	*current = (struct load_report){ 0 };
	if (!hb->draining)
		current->n = racks_list_load(hb->deps.racks, current->load, LOADS_MAX);
	loadtable_set(hb->deps.loads, hb->deps.set->name, hb->deps.set->dc, hb->deps.set->region,
		      current->load, current->n);
}

static bool load_changed(const struct load_report *a, const struct load_report *b)
{
	return service_loads_differ(a->load, a->n, b->load, b->n);
}

static void send_to_local_dc(struct heartbeat *hb, const struct load_report *current)
{
	bool changed = load_changed(&hb->local_report, current);

	send_to_dcs(hb, true, current, !changed);
	if (changed)
		hb->local_report = *current;
}

static void send_to_remote_dcs(struct heartbeat *hb, const struct load_report *current)
{
	bool changed =
		hb->draining || (now_ms() - hb->remote_load_sent_ms >= REMOTE_LOAD_INTERVAL_MS &&
				 load_changed(&hb->remote_report, current));

	send_to_dcs(hb, false, current, !changed);
	hb->remote_sent_ms = now_ms();
	if (!changed)
		return;
	hb->remote_report = *current;
	hb->remote_load_sent_ms = hb->remote_sent_ms;
}

static void send_heartbeats(struct heartbeat *hb, bool to_remote)
{
	struct load_report current;

	hb->seq++;
	read_load(hb, &current);
	send_to_local_dc(hb, &current);
	if (to_remote || now_ms() - hb->remote_sent_ms >= hb->deps.set->far_beat_ms)
		send_to_remote_dcs(hb, &current);
}

static gboolean on_tick(gpointer data)
{
	struct heartbeat *hb = data;

	peers_dial(hb->deps.peers);
	if (members_tick(hb->deps.members, now_ms()))
		apply_member_changes(hb);
	send_heartbeats(hb, false);
	if (hb->on_vm_list_agreed && heartbeat_vm_list_agreed(hb))
		hb->on_vm_list_agreed(hb->on_vm_list_agreed_ctx);
	return G_SOURCE_CONTINUE;
}

static void store_peer_load(struct heartbeat *hb, const struct member_info *m, const Kw__Beat *beat)
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
		loadtable_forget(hb->deps.loads, m->name);
	else if (beat->room_unchanged)
		loadtable_set_unchanged(hb->deps.loads, m->name);
	else
		loadtable_set(hb->deps.loads, m->name, m->dc, m->region, load, n);
}

static void on_heartbeat(void *ctx, const char *peer, const Kw__Envelope *e)
{
	struct heartbeat *hb = ctx;
	const struct member_info *m = members_find(hb->deps.members, peer);
	struct peer_report *report = g_new0(struct peer_report, 1);

	report->config_version = e->beat->config_version;
	report->vm_list_hash = e->beat->list_hash;
	g_hash_table_insert(hb->peer_reports, g_strdup(peer), report);
	if (m)
		store_peer_load(hb, m, e->beat);
	config_sync_peer_offset(hb->deps.config_sync, peer, e->beat->config_offset);
	/* Take over the racks of a draining daemon now rather than at the next tick. */
	if (members_tick(hb->deps.members, now_ms()))
		apply_member_changes(hb);
}

static void on_peer(void *ctx, const char *peer, bool up)
{
	struct heartbeat *hb = ctx;
	struct load_report current;

	if (!up) {
		loadtable_forget(hb->deps.loads, peer);
		g_hash_table_remove(hb->peer_reports, peer);
		return;
	}
	/*
	 * Release the racks that the peer owns now: by the next tick, sessions with their
	 * workers might have been opened again from here.
	 */
	if (members_tick(hb->deps.members, now_ms()))
		apply_member_changes(hb);
	read_load(hb, &current);
	send_to(hb, peer, &current, false);
}

static void on_config(void *ctx, const struct config *next)
{
	struct heartbeat *hb = ctx;

	racks_config(hb->deps.racks, next, hb->live_daemons);
	/* Daemons that can't reach the log learn of the new version from this heartbeat. */
	if (hb->timer)
		send_heartbeats(hb, true);
}

static gboolean on_worker_change_timer(gpointer data)
{
	struct heartbeat *hb = data;

	hb->worker_change_timer = 0;
	send_heartbeats(hb, false);
	return G_SOURCE_REMOVE;
}

static void on_worker_change(void *ctx)
{
	struct heartbeat *hb = ctx;

	if (!hb->worker_change_timer)
		hb->worker_change_timer =
			g_timeout_add(WORKER_CHANGE_DELAY_MS, on_worker_change_timer, hb);
}

void heartbeat_set_vms(struct heartbeat *hb, const struct vm *vm, size_t n)
{
	g_autofree struct member_info *info = g_new0(struct member_info, n + 1);
	size_t daemons = 0;
	uint64_t hash = 1;

	for (size_t i = 0; i < n; i++) {
		struct member_info *m = &info[daemons];

		if (!vm[i].is_entry)
			continue;
		/* A sum, so that the order of the list does not matter. */
		if (strcmp(vm[i].dc, hb->deps.set->dc) == 0)
			hash += XXH64(vm[i].name, strlen(vm[i].name), vm[i].leaving);
		g_strlcpy(m->name, vm[i].name, sizeof(m->name));
		g_strlcpy(m->dc, vm[i].dc, sizeof(m->dc));
		g_strlcpy(m->region, vm[i].region, sizeof(m->region));
		g_strlcpy(m->host, vm[i].host, sizeof(m->host));
		m->port = vm[i].port;
		m->leaving = vm[i].leaving;
		daemons++;
	}
	hb->has_vm_list = true;
	hb->vm_list_hash = MAX(hash, 1);
	if (members_set_list(hb->deps.members, info, daemons, now_ms())) {
		peers_dial(hb->deps.peers);
		apply_member_changes(hb);
	}
	fleet_set_vms(racks_fleet(hb->deps.racks), vm, n);
}

struct heartbeat *heartbeat_create(const struct heartbeat_deps *deps)
{
	struct heartbeat *hb = g_new0(struct heartbeat, 1);

	hb->deps = *deps;
	hb->live_daemons = 1;
	hb->peer_reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peers_on_message(deps->peers, KW__ENVELOPE__BODY_BEAT, on_heartbeat, hb);
	peers_on_state(deps->peers, on_peer, hb);
	config_sync_on_change(deps->config_sync, on_config, hb);
	racks_on_change(deps->racks, on_worker_change, hb);
	return hb;
}

void heartbeat_start(struct heartbeat *hb)
{
	hb->timer = g_timeout_add(hb->deps.set->beat_ms, on_tick, hb);
	on_tick(hb);
}

void heartbeat_drain(struct heartbeat *hb)
{
	hb->draining = true;
	members_heartbeat(hb->deps.members, hb->deps.set->name, hb->deps.incarnation, true,
			  now_ms());
	send_heartbeats(hb, true);
}

void heartbeat_destroy(struct heartbeat *hb)
{
	if (!hb)
		return;
	if (hb->timer)
		g_source_remove(hb->timer);
	if (hb->worker_change_timer)
		g_source_remove(hb->worker_change_timer);
	g_hash_table_destroy(hb->peer_reports);
	g_free(hb);
}

uint64_t heartbeat_peer_config_version(const struct heartbeat *hb, const char *peer)
{
	const struct peer_report *report = g_hash_table_lookup(hb->peer_reports, peer);

	return report ? report->config_version : 0;
}

bool heartbeat_vm_list_agreed(const struct heartbeat *hb)
{
	const struct member_info *m;
	const struct peer_report *report;
	enum member_state state;

	if (!hb->vm_list_hash)
		return false;
	for (size_t i = 0; (m = members_get(hb->deps.members, i, &state)); i++) {
		if (strcmp(m->dc, hb->deps.set->dc) != 0 ||
		    strcmp(m->name, hb->deps.set->name) == 0)
			continue;
		report = g_hash_table_lookup(hb->peer_reports, m->name);
		if (!report || report->vm_list_hash != hb->vm_list_hash ||
		    !peers_is_up(hb->deps.peers, m->name))
			return false;
	}
	return true;
}

void heartbeat_on_vm_list_agreed(struct heartbeat *hb, void (*fn)(void *ctx), void *ctx)
{
	hb->on_vm_list_agreed = fn;
	hb->on_vm_list_agreed_ctx = ctx;
}

bool heartbeat_ready(const struct heartbeat *hb)
{
	return hb->has_vm_list && config_sync_loaded(hb->deps.config_sync);
}
