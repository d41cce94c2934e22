#ifndef TASK_RECORDS_H
#define TASK_RECORDS_H

#include "cell.h"

/* Counts over the workers' records of the tasks of one job or one service. */
struct task_sum {
	unsigned int starts;  /* of all tasks together */
	unsigned int running; /* started and not ended */
	unsigned int tasks;   /* started at least once */
	unsigned int done;    /* ran to their end */
	unsigned int twice;   /* started more than once */
	unsigned int reruns;  /* starts of a task that had run to its end before */
};

/* task_sum_job, task_sum_service - by id of the job, or by name of the service. */
struct task_sum task_sum_job(struct cell *c, const char *job);
struct task_sum task_sum_service(struct cell *c, const char *service);
/* task_sum_text - as task_sum_job(), over lines of records in which member key equals value. */
struct task_sum task_sum_text(const char *text, const char *key, const char *value);
/*
 * task_worker - a worker of data centre dc that runs a task of the job, "" if none; owned by the
 * caller.
 */
char *task_worker(struct cell *c, unsigned int dc, const char *job);

#endif
