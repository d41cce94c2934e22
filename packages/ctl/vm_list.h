#ifndef CTL_VM_LIST_H
#define CTL_VM_LIST_H

#include "process/status.h"
#include "process/types.h"

/* vm_list - the workers and data centres of a cell, from the platform's list of VMs. */
struct vm_list;

/* vm_list_load - reads a saved response of GET /v1/vms. NULL, with the reason in st, on error. */
struct vm_list *vm_list_load(const char *path, struct status *st);
void vm_list_destroy(struct vm_list *list);
/* vm_list_has_worker_for - true if want fits an empty worker that isn't leaving. */
bool vm_list_has_worker_for(const struct vm_list *list, const struct res *want);
/* vm_list_largest - the largest amount per dimension, possibly of different workers. */
struct res vm_list_largest(const struct vm_list *list);
/* vm_list_has_dc - true if a VM is in that data centre. */
bool vm_list_has_dc(const struct vm_list *list, const char *dc);
/* vm_list_dcs - the n names of data centres, owned by list. */
const char *const *vm_list_dcs(const struct vm_list *list, size_t *n);

#endif
