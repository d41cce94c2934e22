#include <string.h>

#include <glib.h>

#include "types.h"

static const char *const class_names[WORK_CLASSES] = {
	[WORK_URGENT] = "urgent", [WORK_REQUEST] = "request", [WORK_SERVICE] = "service",
	[WORK_GANG] = "gang",	  [WORK_BATCH] = "batch",
};

static const char *const outcome_names[OUTCOMES] = {
	[OUTCOME_NONE] = "none",     [OUTCOME_DONE] = "done",	    [OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_FAILED] = "failed", [OUTCOME_UNKNOWN] = "unknown",
};

const char *work_class_name(enum work_class class)
{
	return class < WORK_CLASSES ? class_names[class] : "invalid";
}

const char *outcome_name(enum outcome outcome)
{
	return outcome < OUTCOMES ? outcome_names[outcome] : "invalid";
}

static int find_word(const char *const *words, int n, const char *word)
{
	for (int i = 0; i < n; i++)
		if (strcmp(words[i], word) == 0)
			return i;
	return -1;
}

bool work_class_parse(const char *word, enum work_class *class)
{
	int i = find_word(class_names, WORK_CLASSES, word);

	if (i < 0)
		return false;
	*class = (enum work_class)i;
	return true;
}

bool outcome_parse(const char *word, enum outcome *outcome)
{
	int i = find_word(outcome_names, OUTCOMES, word);

	if (i < 0)
		return false;
	*outcome = (enum outcome)i;
	return true;
}

bool res_fits(const struct res *want, const struct res *have)
{
	return want->cpu_milli <= have->cpu_milli && want->mem_bytes <= have->mem_bytes &&
	       want->accel <= have->accel;
}

void res_add(struct res *sum, const struct res *r)
{
	sum->cpu_milli += r->cpu_milli;
	sum->mem_bytes += r->mem_bytes;
	sum->accel += r->accel;
}

void res_sub(struct res *sum, const struct res *r)
{
	g_assert(res_fits(r, sum));
	sum->cpu_milli -= r->cpu_milli;
	sum->mem_bytes -= r->mem_bytes;
	sum->accel -= r->accel;
}
