#ifndef CTL_DIFF_H
#define CTL_DIFF_H

#include <stdio.h>

#include "active_config.h"
#include "tree.h"

/* diff - the changes from the configuration in force to that of a tree. */
struct diff;

/* diff_create - with prune, removes teams and services that are in force but not in the tree. */
struct diff *diff_create(struct tree *t, const struct active_config *active, bool prune);
void diff_destroy(struct diff *d);
/* diff_changes - the n changes, for config_encode_record(); owned by d. */
const struct config_change *diff_changes(const struct diff *d, size_t *n);
/* diff_print - prints a block per team or service with a line per changed key. */
void diff_print(const struct diff *d, FILE *out);
/*
 * diff_newest_base - the newest version among the items that d changes or removes, with its author
 * and the item's name, both owned by d. Used to refuse a change that is based on an older version.
 * False if d only adds items.
 */
bool diff_newest_base(const struct diff *d, uint64_t *version, const char **author,
		      const char **name);

#endif
