#ifndef TASK_RECORDS_H
#define TASK_RECORDS_H

#include "cell.h"

/* What the workers' records say of the tasks of one job, or of one service. */
struct task_sum {
	unsigned int starts;  /* of all tasks together */
	unsigned int running; /* started and not ended */
	unsigned int tasks;   /* that were started at least once */
	unsigned int done;    /* that ran to their end */
	unsigned int twice;   /* that were started more than once */
	unsigned int reruns;  /* starts of a task that had run to its end before */
};

/* task_sum_job, task_sum_service - by id of the job, or by name of the service. */
struct task_sum task_sum_job(struct cell *c, const char *job);
struct task_sum task_sum_service(struct cell *c, const char *service);
/* task_sum_text - sums up the tasks in lines of a record, as task_sum_job does. */
struct task_sum task_sum_text(const char *text, const char *key, const char *value);
/* task_worker - a worker of data centre dc that runs a task of the job, "" if none. */
char *task_worker(struct cell *c, unsigned int dc, const char *job);

#endif
