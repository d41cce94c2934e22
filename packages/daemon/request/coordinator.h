#ifndef DAEMON_COORDINATOR_H
#define DAEMON_COORDINATOR_H

#include "../process/platform.h"
#include "forward.h"
#include "process/members.h"
#include "process/metrics.h"

/*
 * coordinator - starts non-idempotent requests at most once per key, and votes on the keys that
 * other coordinators claim.
 *
 * A key is claimed with a majority of its three voters before the request is forwarded to an owner.
 * If the link to the caller's daemon is lost, the request still runs to its end, so that its
 * outcome is known.
 */
struct coordinator;

struct coordinator_deps {
	struct forward_deps forward;
	const struct settings *set;
	struct members *members;
	struct peers *peers;
	struct metrics *metrics;
};

struct coordinator *coordinator_create(const struct coordinator_deps *deps);
void coordinator_destroy(struct coordinator *co);
/*
 * coordinator_set_vms - the list of VMs was read; vm is NULL if it is unchanged. The voters are
 * chosen from it.
 */
void coordinator_set_vms(struct coordinator *co, const struct vm *vm, size_t n);
/* coordinator_confirm_vms - all daemons of this data centre have the same list as this one. */
void coordinator_confirm_vms(struct coordinator *co);
/* coordinator_open_count - number of requests that have not ended. */
uint32_t coordinator_open_count(const struct coordinator *co);

#endif
