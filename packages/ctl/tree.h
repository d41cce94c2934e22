#ifndef CTL_TREE_H
#define CTL_TREE_H

#include "active_config.h"
#include "config_file.h"
#include "diagnostics.h"
#include "version/config.h"
#include "vm_list.h"

/* tree - the service and team files found in some directories. */
struct tree;

struct tree *tree_create(void);
void tree_destroy(struct tree *t);
/*
 * tree_add - loads path, or the files below it sorted by name. Adds errors, such as a name that is
 * given twice, to diags.
 */
void tree_add(struct tree *t, const char *path, struct diagnostics *diags);
/* tree_count - number of files found, including those that could not be loaded. */
size_t tree_count(const struct tree *t);

/*
 * tree_check - checks what concerns more than one key or file: combinations of keys, teams that are
 * neither in the tree nor in active, tasks larger than their team's quota and, with vm_list (may be
 * NULL), unknown data centres and sizes that no worker has. Adds errors to diags.
 */
void tree_check(struct tree *t, const struct active_config *active, const struct vm_list *vm_list,
		struct diagnostics *diags);

/*
 * tree_team, tree_service - by index; NULL past the end. Valid only after a tree_check() without
 * errors.
 */
const struct config_team *tree_team(struct tree *t, size_t i);
const struct config_service *tree_service(struct tree *t, size_t i);
/* tree_has - true if a file in the tree describes that team or service. */
bool tree_has(const struct tree *t, bool is_team, const char *name);

#endif
