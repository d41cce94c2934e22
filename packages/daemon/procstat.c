#include <dirent.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "procstat.h"

static uint64_t timeval_ms(const struct timeval *tv)
{
	return (uint64_t)tv->tv_sec * 1000 + (uint64_t)tv->tv_usec / 1000;
}

bool procstat_read_memory(uint64_t *bytes)
{
	FILE *f = fopen("/proc/self/statm", "re");
	unsigned long size;
	unsigned long resident;
	bool ok = f && fscanf(f, "%lu %lu", &size, &resident) == 2;

	if (f)
		fclose(f);
	if (ok)
		*bytes = (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
	return ok;
}

static bool count_descriptors(uint32_t *n)
{
	DIR *dir = opendir("/proc/self/fd");
	uint32_t entries = 0;

	if (!dir)
		return false;
	while (readdir(dir))
		entries++;
	closedir(dir);
	*n = entries - 3; /* without ".", ".." and the folder's own descriptor */
	return true;
}

bool procstat_read(struct procstat *st)
{
	struct procstat now;
	struct rusage use;

	if (!procstat_read_memory(&now.resident_bytes) || !count_descriptors(&now.descriptors) ||
	    getrusage(RUSAGE_SELF, &use) != 0)
		return false;
	now.cpu_ms = timeval_ms(&use.ru_utime) + timeval_ms(&use.ru_stime);
	*st = now;
	return true;
}
