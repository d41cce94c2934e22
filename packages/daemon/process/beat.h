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
struct heartbeat;

struct heartbeat_deps {
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct loadtable *loads;
	struct racks *racks;
	struct confd *confd;
	uint64_t incarnation;
};

struct heartbeat *heartbeat_create(const struct heartbeat_deps *deps);
void heartbeat_destroy(struct heartbeat *b);
void heartbeat_start(struct heartbeat *b);
/* heartbeat_drain - tells the others that this daemon leaves. */
void heartbeat_drain(struct heartbeat *b);
/* heartbeat_set_vms - takes a new list of VMs. */
void heartbeat_set_vms(struct heartbeat *b, const struct vm *vm, size_t n);
/* heartbeat_peer_config_version - version in force at a peer by its last heartbeat, 0 if it is not
 * heard. */
uint64_t heartbeat_peer_config_version(const struct heartbeat *b, const char *peer);
/*
 * heartbeat_vm_list_agreed - true if each daemon of this data centre that is listed or was heard is
 * linked and told, with its last heartbeat, of the same list of VMs as was read here.
 */
bool heartbeat_vm_list_agreed(const struct heartbeat *b);
/* heartbeat_on_vm_list_agreed - fn is called on each tick at which the list is agreed on. */
void heartbeat_on_vm_list_agreed(struct heartbeat *b, void (*fn)(void *ctx), void *ctx);
/* heartbeat_ready - true once a list of VMs and a configuration in force have been read. */
bool heartbeat_ready(const struct heartbeat *b);

#endif
