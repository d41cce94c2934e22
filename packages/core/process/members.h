#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stddef.h>

#include "status.h"

/*
 * members - who is alive among the daemons of the cell, and which daemon owns what.
 *
 * Fed with the platform's list of VMs (which lags) and with heartbeats. What it says is a hint: the
 * workers' epochs and the voters of non-idempotent keys decide.
 */
struct members;

enum member_state {
	MEMBER_ABSENT = 0, /* never heard, or unknown */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* heartbeats are late: gets no new racks, keeps those it has */
	MEMBER_DEAD,
	MEMBER_LEAVING, /* listed as leaving, or says that it drains */
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
	uint32_t suspect_ms;  /* without a heartbeat, inside a data centre */
	uint32_t dead_ms;     /* likewise; also how long a starting daemon presumes others alive */
};

struct members *members_create(const struct members_conf *conf);
void members_destroy(struct members *m);

/*
 * members_set_list - takes a new list of VMs. A daemon missing from it is forgotten only when its
 * heartbeats have stopped too. Returns true if anything changed.
 */
bool members_set_list(struct members *m, const struct member_info *info, size_t n, int64_t now_ms);
/*
 * members_heartbeat - a heartbeat came in. A new incarnation means that it restarted. Called with
 * the own name it says whether this daemon drains.
 */
void members_heartbeat(struct members *m, const char *name, uint64_t incarnation, bool draining,
		       int64_t now_ms);
/*
 * members_hello - a daemon made itself known on a link, perhaps before the list names it. Counts as
 * a heartbeat.
 */
void members_hello(struct members *m, const struct member_info *info, uint64_t incarnation,
		   int64_t now_ms);
/*
 * members_conn_refused - the daemon's host refused a connection: no process listens there, so it is
 * taken for dead at once and not after dead_ms. A paused process doesn't refuse.
 */
void members_conn_refused(struct members *m, const char *name, int64_t now_ms);
/*
 * members_tick - updates states; returns true if the owner of any rack may have changed. To be
 * called at least every beat_ms: a gap of suspect_ms is taken for a pause of this daemon itself.
 */
bool members_tick(struct members *m, int64_t now_ms);

enum member_state members_state(const struct members *m, const char *name);
/* members_get - the i-th member in order of name, or NULL. Valid until the next change. */
const struct member_info *members_get(const struct members *m, size_t i, enum member_state *state);

/* members_score - rendezvous hash of a daemon for a key: the highest owns it. */
uint64_t members_score(const char *name, const char *key);
/* members_find - what is known of a member, or NULL. Valid until the next change. */
const struct member_info *members_find(const struct members *m, const char *name);

/*
 * members_owner - name of the daemon that owns a rack of data centre dc (highest rendezvous hash
 * over live daemons there), or NULL if none lives. Valid until the next change.
 */
const char *members_owner(const struct members *m, const char *dc, const char *rack);
/*
 * members_rank - the n highest daemons of dc for key by rendezvous hash, in order. With live_only
 * false the list of VMs alone decides, so that all daemons with the same list agree.
 */
size_t members_rank(const struct members *m, const char *dc, const char *key, bool live_only,
		    const char **names, size_t n);

#endif
