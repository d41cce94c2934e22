#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stddef.h>

#include "status.h"

/*
 * members - membership of the cell: which daemons are alive, and which daemon owns which rack.
 *
 * Its input is the platform's list of VMs, which lags, and the daemons' heartbeats. Its answers are
 * hints only: the workers' epochs and the voters of non-idempotent keys decide.
 */
struct members;

enum member_state {
	MEMBER_ABSENT = 0, /* unknown, or no heartbeat was ever received */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* heartbeats are late: keeps its racks but gets no new ones */
	MEMBER_DEAD,
	MEMBER_LEAVING, /* listed as leaving, or its heartbeat says that it is draining */
};

struct member_info {
	char name[32];
	char dc[32];
	char region[32];
	char host[46]; /* IP address */
	uint16_t port;
	bool leaving;
};

struct members_conf {
	const char *self;     /* copied */
	const char *dc;	      /* copied */
	const char *region;   /* copied */
	uint32_t beat_ms;     /* interval of heartbeats inside a data centre */
	uint32_t far_beat_ms; /* interval between data centres; 0 for beat_ms */
	uint32_t suspect_ms;  /* suspect after this time without a heartbeat, in a data centre */
	uint32_t dead_ms;     /* likewise dead; a starting daemon presumes others alive that long */
};

struct members *members_create(const struct members_conf *conf);
void members_destroy(struct members *m);

/*
 * members_set_list - applies a new list of VMs. A daemon missing from it is removed only once its
 * heartbeats have stopped too. Returns true if anything changed.
 */
bool members_set_list(struct members *m, const struct member_info *info, size_t n, int64_t now_ms);
/*
 * members_heartbeat - a heartbeat was received. A new incarnation means that the daemon restarted.
 * With this daemon's own name it sets whether this daemon is draining.
 */
void members_heartbeat(struct members *m, const char *name, uint64_t incarnation, bool draining,
		       int64_t now_ms);
/*
 * members_hello - a daemon introduced itself on a link, possibly before the list contains it.
 * Counts as a heartbeat.
 */
void members_hello(struct members *m, const struct member_info *info, uint64_t incarnation,
		   int64_t now_ms);
/*
 * members_conn_refused - the daemon's host refused a connection. No process listens there, so the
 * daemon is considered dead at once rather than after dead_ms. A paused process doesn't refuse.
 */
void members_conn_refused(struct members *m, const char *name, int64_t now_ms);
/*
 * members_tick - updates states; returns true if the owner of any rack may have changed. Must be
 * called at least every beat_ms: a gap of suspect_ms counts as a pause of this daemon itself.
 */
bool members_tick(struct members *m, int64_t now_ms);

enum member_state members_state(const struct members *m, const char *name);
/* members_get - the i-th member in order of name, or NULL. Valid until the next change. */
const struct member_info *members_get(const struct members *m, size_t i, enum member_state *state);

/* members_score - rendezvous hash of a daemon for a key: the daemon with the highest owns it. */
uint64_t members_score(const char *name, const char *key);
/* members_find - member of that name, or NULL. Valid until the next change. */
const struct member_info *members_find(const struct members *m, const char *name);

/*
 * members_owner - name of the daemon that owns a rack of data centre dc: the live daemon there with
 * the highest rendezvous hash. NULL if none is alive. Valid until the next change.
 */
const char *members_owner(const struct members *m, const char *dc, const char *rack);
/*
 * members_rank - fills names with the n daemons of dc with the highest rendezvous hash for key, the
 * highest first; returns how many there are. With live_only false only the list of VMs counts, so
 * that all daemons with the same list agree.
 */
size_t members_rank(const struct members *m, const char *dc, const char *key, bool live_only,
		    const char **names, size_t n);

#endif
