#include "resources.h"

void resources_add(struct resources *to, const struct resources *what)
{
	to->cpu_milli += what->cpu_milli;
	to->mem_bytes += what->mem_bytes;
	to->accel += what->accel;
}

void resources_sub(struct resources *from, const struct resources *what)
{
	from->cpu_milli -= what->cpu_milli;
	from->mem_bytes -= what->mem_bytes;
	from->accel -= what->accel;
}
