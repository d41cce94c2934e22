#ifndef CTL_RULES_H
#define CTL_RULES_H

#include "vm_list.h"
#include "diagnostics.h"
#include "config_file.h"

/* rules - what the keys of one file must satisfy together. */

/* rules_service - combinations of keys and classes, as far as its values can be used. */
void rules_service(const struct config_file *cf, struct diagnostics *diags);
void rules_team(const struct config_file *cf, struct diagnostics *diags);
/* rules_fit - the size of a service against the workers. */
void rules_fit(const struct config_file *cf, const struct vm_list *vm_list,
	       struct diagnostics *diags);
/* rules_quota - the size of one task of a service against the quota of its team. */
void rules_quota(const struct config_file *cf, const struct res *quota, struct diagnostics *diags);

#endif
