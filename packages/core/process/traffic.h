#ifndef CORE_TRAFFIC_H
#define CORE_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

/*
 * traffic - counts messages, control bytes and data bytes by role, link and direction.
 */
struct traffic;

enum traffic_link {
	LINK_CALLER = 0,
	LINK_SAME_DC,
	LINK_OTHER_DC, /* another data centre of the same region */
	LINK_OTHER_REGION,
	LINK_PLATFORM,
	LINK_WORKER,
	TRAFFIC_LINKS,
};

enum traffic_role {
	ROLE_GATEWAY = 0,
	ROLE_COORDINATOR,
	ROLE_OWNER,
	ROLE_MEMBERSHIP,
	ROLE_CONFIG,
	ROLE_JOBS,
	TRAFFIC_ROLES,
};

enum traffic_dir { TRAFFIC_OUT = 0, TRAFFIC_IN, TRAFFIC_DIRS };

struct traffic *traffic_create(void);
void traffic_destroy(struct traffic *t);
/* traffic_add - counts one message of bytes, of which data_bytes are callers' bodies. */
void traffic_add(struct traffic *t, enum traffic_role role, enum traffic_link link,
		 enum traffic_dir dir, uint64_t bytes, uint64_t data_bytes);

struct traffic_row {
	enum traffic_role role;
	enum traffic_link link;
	enum traffic_dir dir;
	uint64_t messages;
	uint64_t control_bytes;
	uint64_t data_bytes;
};

/* traffic_rows - fills row with at most n rows that have messages; returns how many there are. */
size_t traffic_rows(const struct traffic *t, struct traffic_row *row, size_t n);
const char *traffic_role_name(enum traffic_role role);
const char *traffic_link_name(enum traffic_link link);

#endif
