#ifndef CTL_PUBLISH_H
#define CTL_PUBLISH_H

#include <stdio.h>

#include "client.h"
#include "exit.h"
#include "vm_list.h"

/* publish - publishes service and team files as the configuration in force. */
struct publish_options {
	const char *const *paths;
	size_t n_paths;
	const char *author;
	uint64_t base_version; /* refuse if a changed item is newer than this; 0 for no limit */
	uint64_t nonce;	       /* identifies this publish and its retries; not 0 */
	bool dry_run;
	bool prune;		 /* remove teams and services that are not in the files */
	uint32_t wait_ms;	 /* how long to wait for the rollout */
	uint32_t retry_ms;	 /* delay before the first retry; doubles each time */
	struct vm_list *vm_list; /* to check sizes and data centres, or NULL */
	FILE *out;		 /* the diff and the result */
	FILE *err;		 /* diagnostics and progress */
};

/*
 * publish_run - checks the files, prints the diff to the configuration in force, appends the
 * changes as one record and waits for the rollout.
 */
enum exit_status publish_run(struct client *c, const struct publish_options *o);
/*
 * publish_check - only checks the files. With a client, the teams in force count as known; without
 * one (c is NULL), only those in the files.
 */
enum exit_status publish_check(struct client *c, const struct publish_options *o);

#endif
