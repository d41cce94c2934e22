#ifndef CTL_PUBLISH_H
#define CTL_PUBLISH_H

#include <stdio.h>

#include "client.h"
#include "exit.h"
#include "vm_list.h"

/* publish - makes the files of some directories the configuration in force. */
struct publish_options {
	const char *const *paths;
	size_t n_paths;
	const char *author;
	uint64_t base_version; /* refuse if something that changes is newer than this version; 0: no
				  limit */
	uint64_t nonce;	       /* tells repeats of this publish from other ones; not 0 */
	bool dry_run;
	bool prune;		 /* remove what is not in the files */
	uint32_t wait_ms;	 /* how long to wait until it is in force everywhere */
	uint32_t retry_ms;	 /* delay before the first repeat after a lost answer */
	struct vm_list *vm_list; /* may be NULL */
	FILE *out;		 /* the diff and the result */
	FILE *err;		 /* mistakes and progress */
};

enum exit_status publish_run(struct client *c, const struct publish_options *o);
/* publish_check - only the check of the files, against the teams in force if c is not NULL. */
enum exit_status publish_check(struct client *c, const struct publish_options *o);

#endif
