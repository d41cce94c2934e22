#ifndef CTL_TREE_H
#define CTL_TREE_H

#include "active_config.h"
#include "config_file.h"
#include "diagnostics.h"
#include "version/config.h"
#include "vm_list.h"

/* tree - the service and team files found under some directories. */
struct tree;

struct tree *tree_create(void);
void tree_destroy(struct tree *t);
/* tree_add - every file of path or below it, in order of name; mistakes go to diags. */
void tree_add(struct tree *t, const char *path, struct diagnostics *diags);
size_t tree_count(const struct tree *t);

/*
 * tree_check - what concerns more than one key or file: names given twice, combinations of keys,
 * teams that exist neither in the tree nor in active, and, with vm_list (may be NULL), data
 * centres that do not exist and sizes that no worker holds.
 */
void tree_check(struct tree *t, const struct active_config *active, const struct vm_list *vm_list,
		struct diagnostics *diags);

/* tree_team, tree_service - by index; NULL past the end. Only after a check without mistakes. */
const struct config_team *tree_team(struct tree *t, size_t i);
const struct config_service *tree_service(struct tree *t, size_t i);
/* tree_has - true if the tree describes that team or service. */
bool tree_has(const struct tree *t, bool is_team, const char *name);

#endif
