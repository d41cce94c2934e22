#ifndef TESTS_VM_VM_CELL_H
#define TESTS_VM_VM_CELL_H

#include <gio/gio.h>

#include "runner_server.h"
#include "store_server.h"

/*
 * vm_cell - a small cell on the users' platform: daemons as real processes with --platform, each on
 * a loopback address of its own, beside stand-ins of the store and the runners in the test process.
 *
 * A process that has ended is restarted after VM_CELL_RESTART_MS, as the platform does, until
 * vm_cell_destroy(). The daemons end with the test. A failure to set the cell up fails the test. A
 * failed test leaves the cell's folder with the logs, and its path is printed.
 *
 * The environment variable KW_DAEMON names another build of the daemon to test.
 *
 * All functions that wait run the default main context, which serves the stand-ins.
 */
struct vm_cell;

#define VM_CELL_MAX	   200
#define VM_CELL_RUNNERS	   64
#define VM_CELL_RESTART_MS 300
#define VM_CELL_PREFIX	   "/q/" /* of the only queue */
#define VM_CELL_SERVICE	   "desk"
#define VM_CELL_HOST	   "jobs.example"
#define VM_CELL_ATTEMPTS   3 /* of the queue */

struct vm_cell_conf {
	uint32_t vms;
	uint32_t runners;
	uint32_t runner_cpu_milli; /* 0: 64,000 */
	uint32_t labelled;	   /* runners with the label b; the others have a */
	/* Lines of the settings file, after those of the cell; NULL for none. */
	const char *more_settings;
	/* A process with more resident memory is killed, as the platform does; 0: not limited. */
	uint64_t memory_max_bytes;
	/* Limit of the size of each process's files, such as its log; 0: that of the test. */
	uint64_t file_max_bytes;
	/* Limit of each process's file descriptors; 0: that of the test. */
	uint32_t descriptors_max;
};

/* vm_cell_create - starts the stand-ins and publishes the configuration; starts no daemon. */
struct vm_cell *vm_cell_create(const struct vm_cell_conf *conf);
void vm_cell_destroy(struct vm_cell *c);

/* vm_cell_start - starts the daemon of VM i. */
void vm_cell_start(struct vm_cell *c, uint32_t i);
/* vm_cell_start_all - starts all daemons and waits until each is ready. */
void vm_cell_start_all(struct vm_cell *c);
/*
 * vm_cell_signal - sends a signal to VM i's process, if there is one. After SIGKILL, SIGTERM and
 * SIGINT its end is not one of its own.
 */
void vm_cell_signal(struct vm_cell *c, uint32_t i, int signal);
/* vm_cell_stop - kills VM i's process; it is not restarted before vm_cell_start(). */
void vm_cell_stop(struct vm_cell *c, uint32_t i);
/*
 * vm_cell_wait_exit - waits until VM i's process has ended. Returns its exit status, -1 if a signal
 * ended it, -2 if it goes on after wait_ms.
 */
int vm_cell_wait_exit(struct vm_cell *c, uint32_t i, uint32_t wait_ms);
/* vm_cell_last_exit - exit status of VM i's last process that has ended, -1 if a signal ended it.
 */
int vm_cell_last_exit(const struct vm_cell *c, uint32_t i);
/* vm_cell_is_running - whether VM i has a process. */
bool vm_cell_is_running(const struct vm_cell *c, uint32_t i);
/* vm_cell_is_stopping - whether VM i has a process that was sent a signal to end. */
bool vm_cell_is_stopping(const struct vm_cell *c, uint32_t i);
/* vm_cell_pid - process id of VM i's daemon, 0 if there is none. */
int vm_cell_pid(const struct vm_cell *c, uint32_t i);
/* vm_cell_own_ends - how often processes of VM i have ended by themselves. */
uint32_t vm_cell_own_ends(const struct vm_cell *c, uint32_t i);
/* vm_cell_all_own_ends - the sum over all VMs. */
uint32_t vm_cell_all_own_ends(const struct vm_cell *c);
/*
 * vm_cell_bad_stops - processes that were sent SIGTERM or SIGINT but not SIGKILL, and ended by a
 * signal or with a status other than 0.
 */
uint32_t vm_cell_bad_stops(const struct vm_cell *c);
/* vm_cell_memory_kills - processes that were killed for their memory; these are own ends too. */
uint32_t vm_cell_memory_kills(const struct vm_cell *c);
/* vm_cell_resident_bytes - resident memory of VM i's process, 0 if there is none. */
uint64_t vm_cell_resident_bytes(const struct vm_cell *c, uint32_t i);
/*
 * vm_cell_peak_bytes - largest resident memory that was seen of any process; each is looked at
 * every 20 ms, with more than 32 VMs less often.
 */
uint64_t vm_cell_peak_bytes(const struct vm_cell *c);
/*
 * vm_cell_descriptors - open descriptors of VM i's process, without its connections to the store
 * and the runners; 0 if there is none.
 */
uint32_t vm_cell_descriptors(const struct vm_cell *c, uint32_t i);
/* vm_cell_platform_connections - connections of VM i's process to the store and the runners. */
uint32_t vm_cell_platform_connections(const struct vm_cell *c, uint32_t i);
/* vm_cell_cpu_ms - processor time that VM i's process has used. */
uint64_t vm_cell_cpu_ms(const struct vm_cell *c, uint32_t i);

/* Addresses of VM i; owned by the cell. */
const char *vm_cell_ip(const struct vm_cell *c, uint32_t i);
uint16_t vm_cell_front_port(const struct vm_cell *c);
uint16_t vm_cell_ready_port(const struct vm_cell *c);
uint16_t vm_cell_link_port(const struct vm_cell *c);
uint16_t vm_cell_metrics_port(const struct vm_cell *c);
/* vm_cell_settings_path - the settings file of VM i, which the test may change. */
const char *vm_cell_settings_path(const struct vm_cell *c, uint32_t i);
/* vm_cell_log - text of the log of VM i so far; owned by the caller (g_free). */
char *vm_cell_log(const struct vm_cell *c, uint32_t i);
struct store_server *vm_cell_store(struct vm_cell *c);
struct runner_server *vm_cell_runner(struct vm_cell *c, uint32_t i);
/* vm_cell_record - what all runners have run. */
const struct run_record *vm_cell_record(const struct vm_cell *c);
/* vm_cell_publish - writes this version of the configuration; more: further routes, or "". */
void vm_cell_publish(struct vm_cell *c, uint32_t version, const char *more);
/* vm_cell_fail - keeps the folder of the logs. Returns its path, owned by the cell. */
const char *vm_cell_fail(struct vm_cell *c);
/*
 * vm_cell_report - tells what a failed check saw, for those who have only the test's output: prints
 * what, the state of each VM's process, its last answer and, once, the last lines of its log. Keeps
 * the folder of the logs.
 */
void vm_cell_report(struct vm_cell *c, const char *what);

/* vm_cell_sleep - runs the main context for wait_ms. */
void vm_cell_sleep(struct vm_cell *c, uint32_t wait_ms);
/* vm_cell_wait_until - runs the main context until fn() is true; false after wait_ms. */
bool vm_cell_wait_until(struct vm_cell *c, bool (*fn)(struct vm_cell *c, void *ctx), void *ctx,
			uint32_t wait_ms);
/*
 * vm_cell_wait_ready - waits until GET /ready of VM i answers 200. It and the other functions that
 * wait for a state of the cell report a failure by vm_cell_report().
 */
bool vm_cell_wait_ready(struct vm_cell *c, uint32_t i, uint32_t wait_ms);
/* vm_cell_wait_all_ready - the same for all VMs, which are asked at the same time. */
bool vm_cell_wait_all_ready(struct vm_cell *c, uint32_t wait_ms);

struct vm_reply {
	uint32_t status; /* 0 without an answer */
	uint32_t retry_after_s;
	char *body; /* NUL-terminated; "" without an answer */
};

/* vm_cell_call - one request to the front port of VM i; free the body with g_free. */
struct vm_reply vm_cell_call(struct vm_cell *c, uint32_t i, const char *method, const char *path,
			     const char *body, uint32_t timeout_ms);
/*
 * vm_cell_submit - hands in the job with this number as a caller does: up to 20 tries at one VM
 * after the other. Returns the last status.
 */
uint32_t vm_cell_submit(struct vm_cell *c, uint64_t job, const char *body);
/* vm_cell_job_path - path of the job with this number; owned by the caller (g_free). */
char *vm_cell_job_path(uint64_t job);
/* vm_cell_job_state - state of the job by VM i, "" if there was no answer or no such job. */
const char *vm_cell_job_state(struct vm_cell *c, uint32_t i, uint64_t job);
/* vm_cell_wait_state - waits until any VM shows the job in this state. */
bool vm_cell_wait_state(struct vm_cell *c, uint64_t job, const char *state, uint32_t wait_ms);
/* vm_cell_metric - value of a metric's first line of VM i, -1 if there is none. */
int64_t vm_cell_metric(struct vm_cell *c, uint32_t i, const char *name);
/* vm_cell_metrics - the same for all VMs, which are asked at the same time. */
void vm_cell_metrics(struct vm_cell *c, const char *name, uint32_t timeout_ms, int64_t *value);

#endif
