#ifndef DAEMON_PROCSTAT_H
#define DAEMON_PROCSTAT_H

#include <stdbool.h>
#include <stdint.h>

/* procstat - what this process uses, from /proc. */
struct procstat {
	uint64_t resident_bytes;
	uint32_t descriptors; /* open file descriptors */
	uint64_t cpu_ms;      /* processor time, user and system */
};

/* procstat_read - false, with *st unchanged, if /proc can't be read. */
bool procstat_read(struct procstat *st);
/* procstat_read_memory - only the resident memory, which takes few system calls. */
bool procstat_read_memory(uint64_t *bytes);

#endif
