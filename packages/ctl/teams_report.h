#ifndef CTL_TEAMS_REPORT_H
#define CTL_TEAMS_REPORT_H

#include <stdio.h>

#include "client.h"
#include "exit.h"

/*
 * teams_report - the configuration in use on each VM, and what each team has in the cell, from the
 * VM that schedules.
 */
struct teams_options {
	const char *team; /* only this one, NULL for all */
	bool json;
	FILE *out; /* tables or JSON */
	FILE *err;
};

/*
 * teams_report_run - asks every daemon of the client and prints the result.
 *
 * EXIT_DONE if the scheduler answered, even if other daemons didn't; EXIT_WRONG_INPUT if it has no
 * such team; EXIT_NOT_RUN if none of those that answered is the scheduler; EXIT_FAILED if the
 * answers can't be read; EXIT_UNREACHABLE if there was none; EXIT_USAGE if all URLs are invalid.
 */
enum exit_status teams_report_run(struct client *c, const struct teams_options *o);

#endif
