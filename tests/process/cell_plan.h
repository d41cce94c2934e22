#ifndef CELL_PLAN_H
#define CELL_PLAN_H

#include "cell.h"

/*
 * cell_plan - names, addresses and files of a cell. Ports are those that were free when the plan
 * was made.
 */
#define PLAN_DAEMONS_MAX 12

struct plan_daemon {
	char *name;
	char *host;
	char *settings; /* path */
	uint16_t http_port;
	uint16_t link_port;
};

struct plan_dc {
	const char *name;
	const char *region;
	char *workers_host;
	uint16_t workers_port;
};

struct cell_plan {
	struct cell_conf conf;
	char *folder;
	char *vms; /* path */
	char *platform_url;
	struct plan_dc dcs[CELL_DCS_MAX];
	struct plan_daemon daemons[PLAN_DAEMONS_MAX];
	unsigned int n_dcs;
	unsigned int n_daemons;
};

/* cell_plan_create - creates the folder with the VM list and a settings file for each daemon. */
void cell_plan_create(struct cell_plan *p, const struct cell_conf *conf);
void cell_plan_clear(struct cell_plan *p);
void cell_plan_remove_folder(const struct cell_plan *p);
/* cell_plan_record_path - record file of a data centre's workers; owned by the caller. */
char *cell_plan_record_path(const struct cell_plan *p, unsigned int dc);

#endif
