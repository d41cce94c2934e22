#ifndef CTL_VALIDATE_H
#define CTL_VALIDATE_H

#include "config_file.h"
#include "diagnostics.h"
#include "vm_list.h"

/* rules - what the keys of one file must satisfy together. */

/* validate_service - combinations of keys and classes, as far as its values can be used. */
void validate_service(const struct config_file *cf, struct diagnostics *diags);
void validate_team(const struct config_file *cf, struct diagnostics *diags);
/* validate_fits_worker - the size of a service against the workers. */
void validate_fits_worker(const struct config_file *cf, const struct vm_list *vm_list,
			  struct diagnostics *diags);
/* validate_fits_quota - the size of one task of a service against the quota of its team. */
void validate_fits_quota(const struct config_file *cf, const struct res *quota,
			 struct diagnostics *diags);

#endif
