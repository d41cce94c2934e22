#include <glib.h>

#include "clock.h"
#include "id.h"
#include "process/uuid7.h"

void id_make(char id[37])
{
	uint8_t random[10];

	for (size_t i = 0; i < sizeof(random); i++)
		random[i] = (uint8_t)g_random_int();
	uuid7_make(wall_ms(), random, id);
}
