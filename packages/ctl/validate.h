#ifndef CTL_VALIDATE_H
#define CTL_VALIDATE_H

#include "config_file.h"
#include "diagnostics.h"
#include "vm_list.h"

/* validate - checks across the keys of one file, and against workers and quotas. */

/*
 * validate_service, validate_team - check combinations of keys and, for a service, the keys that
 * its class allows and needs. Invalid values are skipped, since config_file_load() has reported
 * them.
 */
void validate_service(const struct config_file *cf, struct diagnostics *diags);
void validate_team(const struct config_file *cf, struct diagnostics *diags);
/* validate_fits_worker - checks that a task of the service fits one of the workers. */
void validate_fits_worker(const struct config_file *cf, const struct vm_list *vm_list,
			  struct diagnostics *diags);
/* validate_fits_quota - checks that one task fits the quota of its team; 0 is no limit. */
void validate_fits_quota(const struct config_file *cf, const struct res *quota,
			 struct diagnostics *diags);

#endif
