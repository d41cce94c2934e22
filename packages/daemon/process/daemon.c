#define G_LOG_DOMAIN "daemon"

#include <glib-unix.h>
#include <signal.h>

#include "clock.h"
#include "admin.h"
#include "heartbeat.h"
#include "daemon.h"
#include "dispatch.h"
#include "log.h"
#include "start_signals.h"
#include "../request/coordinator.h"
#include "../request/gateway.h"

#define DRAIN_POLL_MS 50
/* The listener stays open for this time: other daemons and callers learn of the shutdown first. */
#define DRAIN_MIN_MS 500
#define ANSWER_MS    400 /* of the drain, for writing the answers to requests that still wait */
/* Costs of serving a request in another data centre or region, see struct loadtable_conf. */
#define DC_DELAY_MS	1
#define REGION_DELAY_MS 12
#define BYTES_PER_MS	20000
/* Seeds of daemons that start at the same time have to differ. */
#define SEED_NAME_SHIFT 20

struct daemon {
	const struct settings *set;
	GMainLoop *loop;
	struct traffic *traffic;
	struct metrics *metrics;
	struct members *members;
	struct peers *peers;
	struct calls *calls;
	struct loadtable *loads;
	struct platform *platform;
	struct config_sync *config_sync;
	struct worker_client *worker_client;
	struct runner_client *runner_client;
	struct racks *racks;
	struct heartbeat *heartbeat;
	struct http *http;
	struct gateway *gateway;
	struct coordinator *coordinator;
	struct dispatch *dispatch;
	struct admin *admin;
	guint on_term;
	guint on_int;
	guint on_hup;
	guint drain_timer;
	int64_t drain_since_ms;
	bool draining;
	bool listener_closed;
};

static bool is_idle(const struct daemon *d)
{
	struct racks_count count;

	racks_count(d->racks, &count);
	return http_answering_count(d->http) == 0 && gateway_open_count(d->gateway) == 0 &&
	       coordinator_open_count(d->coordinator) == 0 && count.requests == 0 &&
	       count.waiting == 0 && dispatch_flushed(d->dispatch);
}

static gboolean on_drain_poll(gpointer data)
{
	struct daemon *d = data;
	int64_t passed = now_ms() - d->drain_since_ms;
	bool idle = is_idle(d);

	if (!idle && passed + ANSWER_MS >= MAX(d->set->drain_ms, DRAIN_MIN_MS))
		gateway_end_requests(d->gateway);
	if (passed < DRAIN_MIN_MS || (!idle && passed < d->set->drain_ms))
		return G_SOURCE_CONTINUE;
	/* Requests that arrived before the listener was closed are answered too. */
	if (!d->listener_closed) {
		d->listener_closed = true;
		http_stop_listening(d->http);
		return G_SOURCE_CONTINUE;
	}
	if (!idle)
		log_warn("drain", "", "requests still in flight after %u ms", d->set->drain_ms);
	log_notice("drain", "", "stopped after %d ms", (int)passed);
	d->drain_timer = 0;
	g_main_loop_quit(d->loop);
	return G_SOURCE_REMOVE;
}

void daemon_drain(struct daemon *d)
{
	if (d->draining)
		return;
	d->draining = true;
	d->drain_since_ms = now_ms();
	log_notice("drain", "", "graceful shutdown started");
	admin_set_draining(d->admin);
	http_drain(d->http);
	dispatch_drain(d->dispatch);
	heartbeat_drain(d->heartbeat);
	fleet_release_all(racks_fleet(d->racks));
	racks_drain(d->racks);
	d->drain_timer = g_timeout_add(DRAIN_POLL_MS, on_drain_poll, d);
}

static gboolean on_signal(gpointer data)
{
	daemon_drain(data);
	return G_SOURCE_CONTINUE;
}

static void on_drain_request(void *ctx)
{
	daemon_drain(ctx);
}

static void on_list_agreed(void *ctx)
{
	coordinator_confirm_vms(((struct daemon *)ctx)->coordinator);
}

static void on_vms(void *ctx, const struct vm *vm, size_t n)
{
	struct daemon *d = ctx;

	coordinator_set_vms(d->coordinator, vm, n);
	if (!vm)
		return;
	heartbeat_set_vms(d->heartbeat, vm, n);
	dispatch_members_changed(d->dispatch);
}

static struct members *make_members(const struct settings *set)
{
	struct members_conf conf = {
		.self = set->name,
		.dc = set->dc,
		.region = set->region,
		.beat_ms = set->beat_ms,
		.far_beat_ms = MAX(set->far_beat_ms, set->beat_ms),
		.suspect_ms = set->suspect_ms,
		.dead_ms = set->dead_ms,
	};

	return members_create(&conf);
}

static struct loadtable *make_loadtable(const struct settings *set)
{
	struct loadtable_conf conf = {
		.dc = set->dc,
		.region = set->region,
		.dc_delay_ms = DC_DELAY_MS,
		.region_delay_ms = REGION_DELAY_MS,
		.bytes_per_ms = BYTES_PER_MS,
	};

	return loadtable_create(&conf);
}

static struct racks *make_racks(struct daemon *d, uint64_t seed)
{
	struct racks_deps deps = {
		.set = d->set,
		.members = d->members,
		.calls = d->calls,
		.worker_client = d->worker_client,
		.runner_client = d->runner_client,
		.worker_ops = &worker_http_ops,
		.seed = seed,
	};

	return racks_create(&deps);
}

static void make_request_roles(struct daemon *d)
{
	struct forward_deps forward = { .set = d->set, .calls = d->calls, .loads = d->loads };
	struct gateway_deps gateway = {
		.forward = forward,
		.set = d->set,
		.config_sync = d->config_sync,
		.members = d->members,
		.metrics = d->metrics,
		.http = d->http,
	};
	struct coordinator_deps coordinator = {
		.forward = forward,
		.set = d->set,
		.members = d->members,
		.peers = d->peers,
		.metrics = d->metrics,
	};

	d->gateway = gateway_create(&gateway);
	d->coordinator = coordinator_create(&coordinator);
}

static void make_process_roles(struct daemon *d, uint64_t incarnation)
{
	struct heartbeat_deps heartbeat = {
		.set = d->set,
		.members = d->members,
		.peers = d->peers,
		.loads = d->loads,
		.racks = d->racks,
		.config_sync = d->config_sync,
		.incarnation = incarnation,
	};
	struct dispatch_deps dispatch = {
		.set = d->set,
		.members = d->members,
		.peers = d->peers,
		.calls = d->calls,
		.loads = d->loads,
		.platform = d->platform,
		.config_sync = d->config_sync,
		.racks = d->racks,
		.http = d->http,
		.metrics = d->metrics,
		.incarnation = incarnation,
	};
	struct admin_deps admin;

	d->heartbeat = heartbeat_create(&heartbeat);
	heartbeat_on_vm_list_agreed(d->heartbeat, on_list_agreed, d);
	d->dispatch = dispatch_create(&dispatch);
	admin = (struct admin_deps){
		.set = d->set,
		.members = d->members,
		.peers = d->peers,
		.heartbeat = d->heartbeat,
		.config_sync = d->config_sync,
		.racks = d->racks,
		.loads = d->loads,
		.dispatch = d->dispatch,
		.metrics = d->metrics,
		.traffic = d->traffic,
		.http = d->http,
		.drain = on_drain_request,
		.drain_ctx = d,
	};
	d->admin = admin_create(&admin);
}

struct daemon *daemon_create(const struct settings *set, struct status *st)
{
	struct daemon *d = g_new0(struct daemon, 1);
	uint64_t incarnation = (uint64_t)g_get_real_time();
	uint64_t seed = incarnation ^ ((uint64_t)g_str_hash(set->name) << SEED_NAME_SHIFT) ^
			g_str_hash(set->name);

	d->set = set;
	d->loop = g_main_loop_new(NULL, FALSE);
	d->traffic = traffic_create();
	d->metrics = metrics_create();
	d->members = make_members(set);
	d->peers = peers_create(set, d->members, d->traffic, incarnation);
	d->calls = calls_create(d->peers, set->name, incarnation);
	d->loads = make_loadtable(set);
	d->platform = platform_create(set, d->traffic);
	d->config_sync = config_sync_create(set, d->platform, d->peers);
	d->worker_client = worker_client_create(set, d->traffic);
	d->runner_client = runner_client_create(set, d->traffic);
	d->http = http_create(set);
	d->racks = make_racks(d, seed);
	if (!d->racks) {
		status_set(st, STATUS_INVALID, "settings", "", "no policy \"%s\"", set->policy);
		daemon_destroy(d);
		return NULL;
	}
	make_request_roles(d);
	make_process_roles(d, incarnation);
	config_sync_add_routes(d->config_sync, d->http);
	if (!peers_listen(d->peers, st) || !http_listen(d->http, st)) {
		daemon_destroy(d);
		return NULL;
	}
	return d;
}

static gboolean on_hup(gpointer data)
{
	log_notice("reload", NULL,
		   "reload is not supported; the settings file is read at the next start");
	return G_SOURCE_CONTINUE;
}

int daemon_run(struct daemon *d)
{
	d->on_term = g_unix_signal_add(SIGTERM, on_signal, d);
	d->on_int = g_unix_signal_add(SIGINT, on_signal, d);
	d->on_hup = g_unix_signal_add(SIGHUP, on_hup, d);
	start_signals_unblock();
	platform_watch_vms(d->platform, on_vms, d);
	config_sync_start(d->config_sync);
	dispatch_start(d->dispatch);
	heartbeat_start(d->heartbeat);
	log_notice("start", d->set->dc, "%s listening on %s:%u", d->set->name, d->set->listen_host,
		   d->set->http_port);
	g_main_loop_run(d->loop);
	return 0;
}

void daemon_destroy(struct daemon *d)
{
	if (d->on_term)
		g_source_remove(d->on_term);
	if (d->on_int)
		g_source_remove(d->on_int);
	if (d->on_hup)
		g_source_remove(d->on_hup);
	if (d->drain_timer)
		g_source_remove(d->drain_timer);
	admin_destroy(d->admin);
	heartbeat_destroy(d->heartbeat);
	platform_destroy(d->platform);
	gateway_destroy(d->gateway);
	http_destroy(d->http);
	dispatch_destroy(d->dispatch);
	coordinator_destroy(d->coordinator);
	racks_destroy(d->racks);
	config_sync_destroy(d->config_sync);
	worker_client_destroy(d->worker_client);
	runner_client_destroy(d->runner_client);
	calls_destroy(d->calls);
	peers_destroy(d->peers);
	loadtable_destroy(d->loads);
	members_destroy(d->members);
	metrics_destroy(d->metrics);
	traffic_destroy(d->traffic);
	g_main_loop_unref(d->loop);
	g_free(d);
}
