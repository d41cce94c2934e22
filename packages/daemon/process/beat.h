#ifndef DAEMON_BEAT_H
#define DAEMON_BEAT_H

#include "../connection/peers.h"
#include "../version/confd.h"
#include "process/loadtable.h"
#include "racks.h"

/*
 * beat - heartbeats to the other daemons, with the free room of this one, and what follows when
 * members come, go or restart.
 */
struct beat;

struct beat_deps {
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct loadtable *rooms;
	struct racks *racks;
	struct confd *confd;
	uint64_t incarnation;
};

struct beat *beat_create(const struct beat_deps *deps);
void beat_destroy(struct beat *b);
void beat_start(struct beat *b);
/* beat_drain - tells the others that this daemon leaves. */
void beat_drain(struct beat *b);
/* beat_vms - takes a new list of VMs. */
void beat_vms(struct beat *b, const struct vm *vm, size_t n);
/* beat_peer_config - version in force at a peer by its last heartbeat, 0 if it is not heard. */
uint64_t beat_peer_config(const struct beat *b, const char *peer);
/*
 * beat_list_agreed - true if each daemon of this data centre that is listed or was heard is linked
 * and told, with its last heartbeat, of the same list of VMs as was read here.
 */
bool beat_list_agreed(const struct beat *b);
/* beat_on_agreed - fn is called on each tick at which the list is agreed on. */
void beat_on_agreed(struct beat *b, void (*fn)(void *ctx), void *ctx);
/* beat_ready - true once a list of VMs and a configuration in force have been read. */
bool beat_ready(const struct beat *b);

#endif
