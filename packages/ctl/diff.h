#ifndef CTL_DIFF_H
#define CTL_DIFF_H

#include <stdio.h>

#include "active_config.h"
#include "tree.h"

/* diff - the changes that lead from the configuration in force to that of a tree. */
struct diff;

/* diff_create - with prune, what is in force and not in the tree is removed. */
struct diff *diff_create(struct tree *t, const struct active_config *active, bool prune);
void diff_destroy(struct diff *d);
/* diff_changes - for config_encode_record(); owned by d. */
const struct config_change *diff_changes(const struct diff *d, size_t *n);
/* diff_print - one block for each team or service, one line for each key that changes. */
void diff_print(const struct diff *d, FILE *out);
/*
 * diff_newest_base - the newest version among what d changes, and who wrote it. Used to refuse a
 * change that is based on an older version. False if d changes only what is new.
 */
bool diff_newest_base(const struct diff *d, uint64_t *version, const char **author,
		      const char **name);

#endif
