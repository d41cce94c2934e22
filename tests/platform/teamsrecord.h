#ifndef TESTS_PLATFORM_TEAMSRECORD_H
#define TESTS_PLATFORM_TEAMSRECORD_H

#include <stdint.h>

#include <glib.h>

/* teamsrecord - records of a configuration that has only teams. */

/*
 * teams_record_create - the record with so many keys, in teams with keys_per_team each; its size is
 * stored in *size. Free it with g_free().
 */
char *teams_record_create(uint32_t keys, uint32_t keys_per_team, gsize *size);
/* teams_record_key - the i-th key of such a record; free it with g_free(). */
char *teams_record_key(uint32_t i);

#endif
