#ifndef DAEMON_PLATFORM_H
#define DAEMON_PLATFORM_H

#include <gio/gio.h>

#include "process/traffic.h"
#include "process/types.h"
#include "settings.h"

/* platform - client of the platform's log service and VM list. */
struct platform;
struct tail;

enum append_result {
	APPEND_OK = 0,
	APPEND_REFUSED, /* certainly not in the log */
	APPEND_UNKNOWN, /* may be in the log */
};

typedef void (*append_fn)(void *ctx, enum append_result result, uint64_t offset, const char *why);

/* An entry of the VM list. Strings are owned by the list. */
struct vm {
	const char *name;
	const char *dc;
	const char *region;
	const char *rack;
	const char *host;
	const char *path;    /* base path of a worker's interface */
	const char *service; /* of the worker's runner, "" for none */
	struct res total;
	uint32_t slots;
	uint32_t connections;
	uint16_t port;
	bool is_entry; /* entry VM with a daemon, else a worker */
	bool leaving;
};

/* Receives the VM list; vm is NULL if it is unchanged. */
typedef void (*vms_fn)(void *ctx, const struct vm *vm, size_t n);

struct tail_ops {
	/* record - the next record, in order of offsets. */
	void (*record)(void *ctx, uint64_t offset, const uint8_t *data, size_t size);
	/* caught_up - all records that the log held at the time of the request were passed on. */
	void (*caught_up)(void *ctx, uint64_t next);
	/*
	 * truncated - the platform dropped the records before first. The reader calls tail_seek()
	 * or waits.
	 */
	void (*truncated)(void *ctx, uint64_t first);
	/* reachable - called when the log starts or stops answering. */
	void (*reachable)(void *ctx, bool yes);
};

struct platform *platform_create(const struct settings *set, struct traffic *traffic);
void platform_destroy(struct platform *p);

/*
 * platform_append - appends a record. fn is called once, from the main loop, unless the platform is
 * destroyed before.
 */
void platform_append(struct platform *p, const char *stream, const uint8_t *data, size_t size,
		     append_fn fn, void *ctx);
/* platform_tail - follows a stream from an offset until the platform is destroyed. */
struct tail *platform_tail(struct platform *p, const char *stream, uint64_t from,
			   const struct tail_ops *ops, void *ctx);
/* tail_seek - continues at another offset. */
void tail_seek(struct tail *t, uint64_t offset);
bool tail_reachable(const struct tail *t);
/* platform_watch_vms - polls the VM list and calls fn after each successful read. */
void platform_watch_vms(struct platform *p, vms_fn fn, void *ctx);

#endif
