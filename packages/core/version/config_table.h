#ifndef CORE_CONFIG_TABLE_H
#define CORE_CONFIG_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"

/*
 * config_table - immutable table of teams or services, sorted by name.
 *
 * A change makes a new table that shares all but one chunk of items with the old one, so that it
 * copies only a few dozen pointers whatever the number of items.
 */
struct config_table;

/* One team or service. Reference-counted; not changed any more once it is in a table. */
struct config_item {
	int refs;
	char author[64]; /* of the record that last changed it */
	union {
		char name[64]; /* first member of both structs below */
		struct config_team team;
		struct config_service service;
	};
};

struct config_item *config_item_create(void);
struct config_item *config_item_ref(struct config_item *item);
void config_item_unref(struct config_item *item);

struct config_table *config_table_create(void);
struct config_table *config_table_ref(struct config_table *t);
void config_table_unref(struct config_table *t);
uint32_t config_table_count(const struct config_table *t);
/*
 * config_table_find - item of that name, or NULL. Sets *index, if not NULL, to its index in order
 * of name.
 */
struct config_item *config_table_find(const struct config_table *t, const char *name,
				      uint32_t *index);
/* config_table_at - item by index in order of name; NULL past the end. */
struct config_item *config_table_at(const struct config_table *t, size_t i);
/*
 * config_table_put - a copy of t with item added, or replacing the item of the same name. Takes
 * over the reference to item.
 */
struct config_table *config_table_put(const struct config_table *t, struct config_item *item);
/* config_table_remove - a copy of t without the item of that name, which must exist. */
struct config_table *config_table_remove(const struct config_table *t, const char *name);

#endif
