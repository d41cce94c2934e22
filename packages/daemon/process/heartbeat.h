#ifndef DAEMON_HEARTBEAT_H
#define DAEMON_HEARTBEAT_H

#include "../connection/peers.h"
#include "../version/config_sync.h"
#include "process/loadtable.h"
#include "racks.h"

/*
 * heartbeat - sends heartbeats with this daemon's load to the other daemons, stores theirs, and
 * reacts when members join, fail, leave or restart.
 */
struct heartbeat;

struct heartbeat_deps {
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct loadtable *loads;
	struct racks *racks;
	struct config_sync *config_sync;
	uint64_t incarnation;
};

struct heartbeat *heartbeat_create(const struct heartbeat_deps *deps);
void heartbeat_destroy(struct heartbeat *hb);
void heartbeat_start(struct heartbeat *hb);
/* heartbeat_drain - announces to the other daemons that this one is leaving. */
void heartbeat_drain(struct heartbeat *hb);
/* heartbeat_set_vms - applies a new list of VMs. */
void heartbeat_set_vms(struct heartbeat *hb, const struct vm *vm, size_t n);
/*
 * heartbeat_peer_config_version - configuration version in a peer's last heartbeat, 0 if none was
 * received since the link came up.
 */
uint64_t heartbeat_peer_config_version(const struct heartbeat *hb, const char *peer);
/*
 * heartbeat_vm_list_agreed - true if every other known daemon of this data centre is linked and
 * reported, in its last heartbeat, the same VM list as this daemon has.
 */
bool heartbeat_vm_list_agreed(const struct heartbeat *hb);
/*
 * heartbeat_on_vm_list_agreed - fn is called on every tick on which heartbeat_vm_list_agreed()
 * holds.
 */
void heartbeat_on_vm_list_agreed(struct heartbeat *hb, void (*fn)(void *ctx), void *ctx);
/* heartbeat_ready - true once a VM list and a whole configuration have been read. */
bool heartbeat_ready(const struct heartbeat *hb);

#endif
