#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gio/gio.h>

#include "odd_text.h"
#include "signal_series.h"
#include "troubles.h"

#define TICK_MS	       1
#define METRICS_MS     1000 /* frozen processes don't answer */
#define STOP_LIMIT_MS  6500 /* after SIGTERM the platform kills: grace-s and a little */
#define ODD_ENTRIES    16
#define CROWD_MAX      300
#define TROUBLES_PER_S 2
#define PORTS	       4
#define FIRST_VERSION  20
#define DELAY_MAX_MS   1500
#define STORE_DOWN_MS  4000
#define ODD_TEXT_MAX   64
#define SLEPT_VMS_MAX  32    /* with more VMs, signals to all are not sent while the test sleeps */
#define GAP_MIN_US     4000  /* of those */
#define ROLLING_MAX_MS 10000 /* a rolling restart of all VMs */
#define VMS_PER_HIT    25    /* of so many VMs, one has the trouble */
#define LATE_EVERY_MS  3000
#define SETTINGS_PARTS 5 /* in which the file is written */

struct step;
typedef void (*step_fn)(struct troubles *t, const struct step *s);

struct step {
	int64_t at_us;
	uint32_t order; /* of steps at the same time */
	step_fn apply;
	uint32_t vm;
	uint32_t arg;
	uint32_t arg2;
};

struct troubles {
	struct troubles_conf conf;
	GRand *rand;
	GArray *step; /* of struct step, by time */
	struct signal_series *series;
	char **settings;     /* sound text for each VM */
	int *held_port;	     /* PORTS for each VM, -1 for none */
	bool *stopped;	     /* of each VM: frozen, doesn't answer */
	int *stop_pid;	     /* of each VM: process that was sent SIGTERM */
	int64_t *stop_at_us; /* of each VM: when that was sent */
	uint32_t late_stops;
	uint32_t store_downs;
	uint32_t version;
	GString *plan;
};

struct trouble {
	const char *name;
	uint32_t weight;
	bool one_vm; /* of a large cell, several VMs have it */
	void (*plan)(struct troubles *t, uint32_t at_ms, uint32_t vm);
};

/* A number from first to last. */
static uint32_t pick(struct troubles *t, uint32_t first, uint32_t last)
{
	return (uint32_t)g_rand_int_range(t->rand, (gint32)first, (gint32)last + 1);
}

static void add(struct troubles *t, uint32_t at_ms, step_fn apply, uint32_t vm, uint32_t arg,
		uint32_t arg2)
{
	struct step s = { .at_us = (int64_t)at_ms * 1000,
			  .order = t->step->len,
			  .apply = apply,
			  .vm = vm % t->conf.vms,
			  .arg = arg,
			  .arg2 = arg2 };

	g_array_append_val(t->step, s);
}

static void note_stop(struct troubles *t, uint32_t vm)
{
	int pid = vm_cell_pid(t->conf.cell, vm);

	t->conf.disturbed[vm]++;
	if (pid == t->stop_pid[vm])
		return;
	t->stop_pid[vm] = pid;
	t->stop_at_us[vm] = g_get_monotonic_time();
}

static void do_signal(struct troubles *t, const struct step *s)
{
	bool stops = s->arg == SIGTERM || s->arg == SIGINT;

	if ((s->arg == SIGHUP || stops) && !signal_series_is_safe(vm_cell_pid(t->conf.cell, s->vm)))
		return;
	if (stops)
		note_stop(t, s->vm);
	else if (s->arg != SIGHUP)
		t->conf.disturbed[s->vm]++;
	if (s->arg != SIGHUP && !stops)
		t->stopped[s->vm] = s->arg == SIGSTOP;
	vm_cell_signal(t->conf.cell, s->vm, (int)s->arg);
}

/* As the platform does, kills what goes on after a SIGTERM. */
static void end_late_stops(struct troubles *t)
{
	for (uint32_t i = 0; i < t->conf.vms; i++) {
		if (!t->stop_pid[i] || g_get_monotonic_time() - t->stop_at_us[i] <
					       STOP_LIMIT_MS * G_GINT64_CONSTANT(1000))
			continue;
		if (vm_cell_pid(t->conf.cell, i) == t->stop_pid[i]) {
			t->late_stops++;
			t->conf.disturbed[i]++;
			vm_cell_signal(t->conf.cell, i, SIGKILL);
		}
		t->stop_pid[i] = 0;
	}
}

static void do_kill_all(struct troubles *t, const struct step *s)
{
	for (uint32_t i = 0; i < t->conf.vms; i++) {
		t->conf.disturbed[i]++;
		vm_cell_signal(t->conf.cell, i, (int)s->arg);
	}
}

static void do_signal_scheduler(struct troubles *t, const struct step *s)
{
	int64_t value[VM_CELL_MAX];

	vm_cell_metrics(t->conf.cell, "kw_scheduler", METRICS_MS, value);
	for (uint32_t i = 0; i < t->conf.vms; i++) {
		if (t->stopped[i] || !signal_series_is_safe(vm_cell_pid(t->conf.cell, i)) ||
		    value[i] != 1)
			continue;
		t->conf.disturbed[i]++;
		vm_cell_signal(t->conf.cell, i, (int)s->arg);
	}
}

static void do_series(struct troubles *t, const struct step *s)
{
	t->series[s->vm] = (struct signal_series){ .left = s->arg, .gap_us = s->arg2 };
}

static void do_series_at_start(struct troubles *t, const struct step *s)
{
	t->series[s->vm] = (struct signal_series){ .left = s->arg,
						   .gap_us = s->arg2,
						   .after_pid = vm_cell_pid(t->conf.cell, s->vm) };
	t->conf.disturbed[s->vm]++;
	vm_cell_signal(t->conf.cell, s->vm, SIGKILL);
}

/* For the series that has begun: SIGTERM and SIGINT in it, and arg us into a start. */
static void do_series_ends(struct troubles *t, const struct step *s)
{
	t->series[s->vm].ending = true;
	t->series[s->vm].delay_us = s->arg;
}

/* Writes the file in place, as an editor or a copy does. */
static void write_file(const struct troubles *t, uint32_t vm, const char *text)
{
	int fd = open(vm_cell_settings_path(t->conf.cell, vm),
		      O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

	if (fd < 0)
		return;
	if (write(fd, text, strlen(text)) < 0)
		g_printerr("settings of VM %u can't be written\n", vm);
	close(fd);
}

static void do_truncate(struct troubles *t, const struct step *s)
{
	write_file(t, s->vm, "");
}

static void do_remove(struct troubles *t, const struct step *s)
{
	unlink(vm_cell_settings_path(t->conf.cell, s->vm));
}

/* The first parts of the file, cut inside a line. */
static void do_write_part(struct troubles *t, const struct step *s)
{
	size_t size = strlen(t->settings[s->vm]) * s->arg / SETTINGS_PARTS;
	g_autofree char *text = g_strndup(t->settings[s->vm], size);

	while (size && text[size - 1] == '\n')
		text[--size] = '\0';
	write_file(t, s->vm, text);
}

static void do_write_settings(struct troubles *t, const struct step *s)
{
	static const char *const more[] = {
		"",
		"new.field=%u\n",
		"new-list=a,b,%u\n",
		"platform.new-ms=%u\n",
		"bounds.new_%u=1e9\n",
		"zones.north-z%u=north\n",
	};
	g_autofree char *line = g_strdup_printf(more[s->arg % G_N_ELEMENTS(more)], s->arg2);
	g_autofree char *text = g_strconcat(t->settings[s->vm], line, NULL);

	write_file(t, s->vm, text);
}

static uint16_t port_of(const struct troubles *t, uint32_t at)
{
	const struct vm_cell *c = t->conf.cell;
	const uint16_t port[PORTS] = { vm_cell_front_port(c), vm_cell_ready_port(c),
				       vm_cell_link_port(c), vm_cell_metrics_port(c) };

	return port[at % PORTS];
}

static void do_free_port(struct troubles *t, const struct step *s)
{
	int *fd = &t->held_port[s->vm * PORTS + s->arg];

	/* Callers that were connected to the port meanwhile lose their connections. */
	t->conf.disturbed[s->vm]++;
	if (*fd >= 0)
		close(*fd);
	*fd = -1;
}

static void do_take_port(struct troubles *t, const struct step *s)
{
	struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons(port_of(t, s->arg)) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	do_free_port(t, s);
	inet_pton(AF_INET, vm_cell_ip(t->conf.cell, s->vm), &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)&at, sizeof(at)) || listen(fd, 1)) {
		close(fd);
		return;
	}
	t->held_port[s->vm * PORTS + s->arg] = fd;
}

static void do_store_down(struct troubles *t, const struct step *s)
{
	t->store_downs = s->arg ? t->store_downs + 1 : t->store_downs - 1;
	store_server_set_down(vm_cell_store(t->conf.cell), t->store_downs > 0);
}

static void do_store_slow(struct troubles *t, const struct step *s)
{
	store_server_set_delay(vm_cell_store(t->conf.cell), s->arg);
}

static void do_store_loses(struct troubles *t, const struct step *s)
{
	store_server_set_loss(vm_cell_store(t->conf.cell), s->arg);
}

static void do_config(struct troubles *t, const struct step *s)
{
	g_autofree char *more = g_strdup_printf(
		",{\"name\":\"r%u\",\"host\":\"" VM_CELL_HOST
		"\",\"prefix\":\"/r%u/\",\"kind\":\"unsafe\",\"timeout-ms\":%u,\"slo-ms\":1000,"
		"\"priority\":1,\"service\":\"" VM_CELL_SERVICE
		"\",\"attempts\":3,\"stretch\":2.0}",
		s->arg, s->arg, 1000 + s->arg2);

	t->version += 1 + s->arg % 3;
	vm_cell_publish(t->conf.cell, t->version, s->arg ? more : "");
}

static void do_odd_config(struct troubles *t, const struct step *s)
{
	g_autofree char *text = odd_text(s->arg);

	store_server_put(vm_cell_store(t->conf.cell), "keyed.op", "config", text, strlen(text));
}

static void do_odd_entry(struct troubles *t, const struct step *s)
{
	g_autofree char *text = odd_text(s->arg);
	g_autofree char *key = g_strdup_printf("odd-%u", s->arg2 % ODD_ENTRIES);

	store_server_put(vm_cell_store(t->conf.cell), "keyed.servers", key, text, strlen(text));
}

static void do_odd_job(struct troubles *t, const struct step *s)
{
	g_autofree char *text = odd_text(s->arg);

	if (signal_series_is_safe(vm_cell_pid(t->conf.cell, s->vm)))
		callers_post(t->conf.callers, s->vm, text, strlen(text));
}

static void do_runner_restart(struct troubles *t, const struct step *s)
{
	if (t->conf.runners)
		runner_server_restart(vm_cell_runner(t->conf.cell, s->arg % t->conf.runners));
}

static void do_runner_mode(struct troubles *t, const struct step *s)
{
	if (t->conf.runners)
		runner_server_set_mode(vm_cell_runner(t->conf.cell, s->vm % t->conf.runners),
				       s->arg, s->arg2);
}

static void do_crowd(struct troubles *t, const struct step *s)
{
	crowd_open(t->conf.crowd, s->vm, port_of(t, s->arg / CROWD_KINDS),
		   (enum crowd_kind)(s->arg % CROWD_KINDS), s->arg2);
}

static void plan_hup_storm(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_series, vm, pick(t, 5, 40), 500u << pick(t, 0, 7));
}

static void plan_hup_all(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t gap_min_us = t->conf.vms > SLEPT_VMS_MAX ? GAP_MIN_US : 0;

	for (uint32_t i = 0; i < t->conf.vms; i++) {
		uint32_t gap_us = 500u << pick(t, 0, 6);

		add(t, at_ms, do_series, vm + i, pick(t, 2, 12), MAX(gap_us, gap_min_us));
	}
}

static void plan_hup_at_start(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_series_at_start, vm, pick(t, 3, 30), 500u << pick(t, 0, 5));
}

static uint32_t stop_signal(struct troubles *t)
{
	return pick(t, 0, 2) ? SIGTERM : SIGINT;
}

static void plan_stop(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_signal, vm, stop_signal(t), 0);
	if (pick(t, 0, 1))
		add(t, at_ms + pick(t, 0, 50), do_signal, vm, SIGTERM, 0);
}

/* Signals that end a process, in the first 20 ms of one start after the other. */
static void plan_stop_at_start(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_series_at_start, vm, pick(t, 3, 12), 500u << pick(t, 0, 9));
	add(t, at_ms, do_series_ends, vm, pick(t, 0, 20) * 1000, 0);
}

/* Restarts of one VM, beside reloads that go on over them. */
static void plan_restarts(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t n = pick(t, 2, 4);

	add(t, at_ms, do_series, vm, 400, 2000 + pick(t, 1, 8000));
	for (uint32_t i = 0; i < n; i++) {
		uint32_t then_ms = at_ms + i * pick(t, 100, 700);

		if (pick(t, 0, 1))
			add(t, then_ms, do_signal, vm, stop_signal(t), 0);
		else
			add(t, then_ms, do_signal, vm, SIGKILL, 0);
		add(t, then_ms, do_write_settings, vm, pick(t, 0, 99), pick(t, 0, 99));
	}
}

static void plan_kill(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_signal, vm, SIGKILL, 0);
}

static void plan_kill_again(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t i = 0; i < 5; i++)
		add(t, at_ms + i * pick(t, 310, 450), do_signal, vm, SIGKILL, 0);
}

static void plan_kill_all(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_kill_all, vm, SIGKILL, 0);
}

/* Callers whose connections the kill ends connect again at once, while the processes start. */
static void plan_kill_all_called(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t each = MAX(CROWD_MAX / t->conf.vms, 1);

	for (uint32_t i = 0; i < t->conf.vms; i++)
		add(t, at_ms, do_crowd, i, CROWD_RECONNECTS, pick(t, 1, each));
	add(t, at_ms + 200, do_kill_all, vm, SIGKILL, 0);
}

static void plan_kill_scheduler(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_signal_scheduler, vm, SIGKILL, 0);
}

static void plan_freeze_scheduler(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_signal_scheduler, vm, SIGSTOP, 0);
	for (uint32_t i = 0; i < t->conf.vms; i++)
		add(t, at_ms + pick(t, 1500, 3000), do_signal, i, SIGCONT, 0);
}

static void plan_rolling(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t gap_ms = MIN(pick(t, 30, 500), ROLLING_MAX_MS / t->conf.vms);

	for (uint32_t i = 0; i < t->conf.vms; i++)
		add(t, at_ms + i * gap_ms, do_signal, vm + i, stop_signal(t), 0);
}

static void plan_freeze(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_signal, vm, SIGSTOP, 0);
	add(t, at_ms + pick(t, 100, 3000), do_signal, vm, SIGCONT, 0);
}

static void plan_quarter_core(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t ms = pick(t, 500, 3000);

	if (pick(t, 0, 1))
		add(t, at_ms, do_signal, vm, SIGKILL, 0);
	for (uint32_t i = 0; i < ms; i += 100) {
		add(t, at_ms + i, do_signal, vm, SIGSTOP, 0);
		add(t, at_ms + i + 75, do_signal, vm, SIGCONT, 0);
	}
}

static void plan_settings(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t i = 0; i < 4; i++) {
		uint32_t then_ms = at_ms + i * 200;

		add(t, then_ms, do_truncate, vm, 0, 0);
		add(t, then_ms, do_series, vm, pick(t, 1, 4), 500u << pick(t, 0, 4));
		if (pick(t, 0, 1))
			add(t, then_ms + 1, do_signal, vm, SIGKILL, 0);
		add(t, then_ms + pick(t, 1, 80), do_write_settings, vm, pick(t, 0, 99),
		    pick(t, 0, 99));
		add(t, then_ms + pick(t, 81, 120), do_series, vm, 1, 0);
	}
}

/* The file is empty, missing or written in part when the process reads it. */
static void plan_settings_at_start(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t begin_ms = at_ms + VM_CELL_RESTART_MS - 20;
	uint32_t gap_ms = pick(t, 1, 40);
	uint32_t how = pick(t, 0, 2);

	add(t, at_ms, do_signal, vm, SIGKILL, 0);
	add(t, begin_ms, how == 1 ? do_remove : do_truncate, vm, 0, 0);
	for (uint32_t i = 1; how == 2 && i < SETTINGS_PARTS; i++)
		add(t, begin_ms + i * gap_ms, do_write_part, vm, i, 0);
	add(t, begin_ms + MAX(SETTINGS_PARTS * gap_ms, how == 2 ? 0 : pick(t, 50, 270)),
	    do_write_settings, vm, pick(t, 0, 99), pick(t, 0, 99));
	if (pick(t, 0, 1))
		add(t, at_ms, do_series, vm, pick(t, 10, 60), 4000 + pick(t, 0, 9000));
}

static void plan_port(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t port = pick(t, 0, PORTS - 1);

	add(t, at_ms, do_signal, vm, SIGKILL, 0);
	add(t, at_ms + 100, do_take_port, vm, port, 0);
	add(t, at_ms + 100 + pick(t, 100, 500), do_free_port, vm, port, 0);
}

static void plan_store_down(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_store_down, vm, 1, 0);
	add(t, at_ms + pick(t, 100, STORE_DOWN_MS), do_store_down, vm, 0, 0);
}

static void plan_store_slow(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_store_slow, vm, pick(t, 20, DELAY_MAX_MS), 0);
	add(t, at_ms + pick(t, 300, 3000), do_store_slow, vm, 0, 0);
}

/* The store refuses, is slow or loses answers while processes start. */
static void plan_store_at_start(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	static const step_fn fns[] = { do_store_down, do_store_slow, do_store_loses };
	static const uint32_t last[] = { 1, DELAY_MAX_MS, 4 };
	uint32_t how = pick(t, 0, G_N_ELEMENTS(fns) - 1);

	add(t, at_ms, fns[how], vm, pick(t, 1, last[how]), 0);
	add(t, at_ms, pick(t, 0, 2) ? do_signal : do_kill_all, vm, SIGKILL, 0);
	if (pick(t, 0, 1))
		add(t, at_ms + VM_CELL_RESTART_MS + pick(t, 0, 300), do_signal, vm, stop_signal(t),
		    0);
	add(t, at_ms + pick(t, 500, 3000), fns[how], vm, 0, 0);
}

static void plan_store_loses(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_store_loses, vm, pick(t, 1, 8), 0);
	add(t, at_ms + pick(t, 300, 3000), do_store_loses, vm, 0, 0);
}

static void plan_config(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t i = 0; i < 3; i++)
		add(t, at_ms + i * pick(t, 1, 300), do_config, vm, pick(t, 0, 9), pick(t, 0, 4000));
}

static void plan_odd_config(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_odd_config, vm, pick(t, 0, ODD_TEXT_MAX), 0);
	if (pick(t, 0, 1))
		add(t, at_ms + pick(t, 0, 300), do_signal, vm, SIGKILL, 0);
	add(t, at_ms + pick(t, 100, 1500), do_config, vm, pick(t, 0, 9), pick(t, 0, 4000));
}

static void plan_odd_entries(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t i = 0; i < 10; i++)
		add(t, at_ms + i * 20, do_odd_entry, vm, pick(t, 0, ODD_TEXT_MAX),
		    pick(t, 0, ODD_ENTRIES));
}

static void plan_odd_jobs(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t i = 0; i < 10; i++)
		add(t, at_ms + i * 20, do_odd_job, vm + i, pick(t, 0, ODD_TEXT_MAX), 0);
}

static void plan_runner_restart(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_runner_restart, vm, pick(t, 0, 63), 0);
}

static void plan_runner_mode(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t mode = pick(t, RUNNER_SOUND + 1, RUNNER_MODES - 1);
	uint32_t n = pick(t, 0, 1) ? 1 : t->conf.runners;

	for (uint32_t i = 0; i < MIN(n, t->conf.vms); i++) {
		add(t, at_ms, do_runner_mode, vm + i, mode, pick(t, 50, DELAY_MAX_MS));
		add(t, at_ms + pick(t, 300, 3000), do_runner_mode, vm + i, RUNNER_SOUND, 0);
	}
}

static void plan_flood(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t left = pick(t, 20, CROWD_MAX);

	for (uint32_t i = 0; left; i++) {
		uint32_t n = pick(t, 10, 100);

		n = MIN(left, n);
		add(t, at_ms + i * 50, do_crowd, vm, pick(t, 0, CROWD_GARBAGE - 1), n);
		left -= n;
	}
}

static void plan_garbage(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t port = 0; port < PORTS; port++)
		add(t, at_ms + port * pick(t, 0, 50), do_crowd, vm,
		    port * CROWD_KINDS + CROWD_GARBAGE, pick(t, 1, 10));
}

static void plan_returning(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	for (uint32_t i = 0; i < t->conf.vms; i++)
		add(t, at_ms + pick(t, 0, 500), do_crowd, vm + i, CROWD_RETURNING, pick(t, 1, 20));
}

static const struct trouble kinds[] = {
	{ "SIGHUP in series", 4, true, plan_hup_storm },
	{ "SIGHUP in series to all", 2, false, plan_hup_all },
	{ "SIGHUP in series at a start", 4, true, plan_hup_at_start },
	{ "stop", 3, true, plan_stop },
	{ "stops at a start", 4, true, plan_stop_at_start },
	{ "restarts beside reloads", 3, true, plan_restarts },
	{ "SIGKILL", 3, true, plan_kill },
	{ "SIGKILL in series", 2, true, plan_kill_again },
	{ "SIGKILL of all", 1, false, plan_kill_all },
	{ "SIGKILL of all, callers connect again", 1, false, plan_kill_all_called },
	{ "SIGKILL of the scheduler", 2, false, plan_kill_scheduler },
	{ "freeze of the scheduler", 1, false, plan_freeze_scheduler },
	{ "rolling restart", 2, false, plan_rolling },
	{ "freeze", 3, true, plan_freeze },
	{ "quarter of a core", 2, true, plan_quarter_core },
	{ "settings rewritten", 3, true, plan_settings },
	{ "settings not whole at a start", 3, true, plan_settings_at_start },
	{ "port taken", 2, true, plan_port },
	{ "store refuses", 2, false, plan_store_down },
	{ "store slow", 2, false, plan_store_slow },
	{ "store loses answers", 2, false, plan_store_loses },
	{ "store away, slow or losing at a start", 3, false, plan_store_at_start },
	{ "configuration", 2, false, plan_config },
	{ "odd configuration", 2, false, plan_odd_config },
	{ "odd runner entries", 2, false, plan_odd_entries },
	{ "odd jobs", 2, false, plan_odd_jobs },
	{ "runner restart", 1, false, plan_runner_restart },
	{ "runner odd, slow or silent", 3, false, plan_runner_mode },
	{ "connections", 3, true, plan_flood },
	{ "returning connections to all", 3, false, plan_returning },
	{ "garbage on the ports", 2, true, plan_garbage },
};

/* The VM wakes with orders in its socket, and a runner has forgotten the runs that they start. */
static void plan_freeze_and_restart(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	uint32_t ms = pick(t, 1500, 4000);

	add(t, at_ms, do_signal, vm, SIGSTOP, 0);
	add(t, at_ms + ms - pick(t, 10, 400), do_runner_restart, vm, pick(t, 0, 63), 0);
	add(t, at_ms + ms, do_signal, vm, SIGCONT, 0);
}

/* Two leases change hands in close succession, and the first holder wakes after both. */
static void plan_freeze_and_stop_scheduler(struct troubles *t, uint32_t at_ms, uint32_t vm)
{
	add(t, at_ms, do_signal_scheduler, vm, SIGSTOP, 0);
	add(t, at_ms + pick(t, 1500, 2500), do_signal_scheduler, vm, SIGTERM, 0);
	for (uint32_t i = 0; i < t->conf.vms; i++)
		add(t, at_ms + pick(t, 2600, 4500), do_signal, i, SIGCONT, 0);
}

/* Drawn after the others, so that a seed gives these as before. */
static const struct trouble late_kinds[] = {
	{ "freeze, a runner restarts", 2, true, plan_freeze_and_restart },
	{ "freeze of the scheduler, stop of its successor", 1, false,
	  plan_freeze_and_stop_scheduler },
};

static const struct trouble *pick_trouble(struct troubles *t, const struct trouble *kind, size_t n)
{
	uint32_t sum = 0;
	uint32_t at;

	for (size_t k = 0; k < n; k++)
		sum += kind[k].weight;
	at = pick(t, 0, sum - 1);
	while (at >= kind->weight)
		at -= kind++->weight;
	return kind;
}

static int compare_steps(const void *a, const void *b)
{
	const struct step *x = a;
	const struct step *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void plan_one(struct troubles *t, const struct trouble *kind, uint32_t at_ms, uint32_t vm)
{
	uint32_t n = kind->one_vm ? 1 + (t->conf.vms - 1) / VMS_PER_HIT : 1;

	g_string_append_printf(t->plan, "%6u ms  VM %2u  %s\n", at_ms, vm, kind->name);
	for (uint32_t i = 0; i < n; i++)
		kind->plan(t, at_ms, vm + i * VMS_PER_HIT);
}

/* Every other time, two or three troubles come to one VM at about the same time. */
static void make_plan(struct troubles *t)
{
	uint32_t at_ms = 0;

	while (at_ms < t->conf.length_ms) {
		uint32_t n = pick(t, 0, 1) ? 1 : pick(t, 2, 3);
		uint32_t vm = pick(t, 0, t->conf.vms - 1);

		for (uint32_t i = 0; i < n; i++) {
			plan_one(t, pick_trouble(t, kinds, G_N_ELEMENTS(kinds)), at_ms, vm);
			at_ms +=
				i + 1 < n ? pick(t, 0, 400) : pick(t, 0, n * 2000 / TROUBLES_PER_S);
		}
	}
	for (at_ms = pick(t, 500, LATE_EVERY_MS); at_ms < t->conf.length_ms;
	     at_ms += pick(t, 500, 2 * LATE_EVERY_MS))
		plan_one(t, pick_trouble(t, late_kinds, G_N_ELEMENTS(late_kinds)), at_ms,
			 pick(t, 0, t->conf.vms - 1));
	g_array_sort(t->step, compare_steps);
}

struct troubles *troubles_create(const struct troubles_conf *conf)
{
	struct troubles *t = g_new0(struct troubles, 1);

	t->conf = *conf;
	t->rand = g_rand_new_with_seed(conf->seed);
	t->step = g_array_new(FALSE, FALSE, sizeof(struct step));
	t->plan = g_string_new("");
	t->version = FIRST_VERSION;
	t->series = g_new0(struct signal_series, conf->vms);
	t->stop_pid = g_new0(int, conf->vms);
	t->stop_at_us = g_new0(int64_t, conf->vms);
	t->stopped = g_new0(bool, conf->vms);
	t->settings = g_new0(char *, conf->vms + 1);
	t->held_port = g_new(int, conf->vms *PORTS);
	for (uint32_t i = 0; i < conf->vms * PORTS; i++)
		t->held_port[i] = -1;
	for (uint32_t i = 0; i < conf->vms; i++)
		g_file_get_contents(vm_cell_settings_path(conf->cell, i), &t->settings[i], NULL,
				    NULL);
	make_plan(t);
	return t;
}

void troubles_destroy(struct troubles *t)
{
	if (!t)
		return;
	for (uint32_t i = 0; i < t->conf.vms * PORTS; i++)
		if (t->held_port[i] >= 0)
			close(t->held_port[i]);
	g_rand_free(t->rand);
	g_array_unref(t->step);
	g_string_free(t->plan, TRUE);
	g_strfreev(t->settings);
	g_free(t->held_port);
	g_free(t->stop_pid);
	g_free(t->stop_at_us);
	g_free(t->stopped);
	g_free(t->series);
	g_free(t);
}

uint32_t troubles_late_stops(const struct troubles *t)
{
	return t->late_stops;
}

const char *troubles_plan(const struct troubles *t)
{
	return t->plan->str;
}

/* Leaves the platform sound: what the plan changed for good is taken back. */
static void restore(struct troubles *t)
{
	struct store_server *store = vm_cell_store(t->conf.cell);

	for (uint32_t i = 0; i < t->conf.vms; i++)
		write_file(t, i, t->settings[i]);
	for (uint32_t i = 0; i < ODD_ENTRIES; i++) {
		g_autofree char *key = g_strdup_printf("odd-%u", i);

		store_server_put(store, "keyed.servers", key, NULL, 0);
	}
	store_server_set_loss(store, 0);
	for (uint32_t i = 0; i < t->conf.runners; i++)
		runner_server_set_mode(vm_cell_runner(t->conf.cell, i), RUNNER_SOUND, 0);
	vm_cell_publish(t->conf.cell, ++t->version, "");
}

static gboolean on_tick(gpointer data)
{
	return G_SOURCE_CONTINUE;
}

void troubles_run(struct troubles *t)
{
	int64_t start_us = g_get_monotonic_time();
	guint tick = g_timeout_add(TICK_MS, on_tick, NULL);
	guint next = 0;

	while (next < t->step->len) {
		int64_t now_us = g_get_monotonic_time() - start_us;
		const struct step *s = &g_array_index(t->step, struct step, next);

		for (uint32_t i = 0; i < t->conf.vms; i++)
			if (signal_series_run(&t->series[i], t->conf.cell, i))
				note_stop(t, i);
		end_late_stops(t);
		if (s->at_us > now_us) {
			g_main_context_iteration(NULL, TRUE);
			continue;
		}
		next++;
		s->apply(t, s);
	}
	g_source_remove(tick);
	restore(t);
}
