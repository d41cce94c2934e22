#ifndef CORE_CONFIG_TABLE_H
#define CORE_CONFIG_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "config.h"

/*
 * table - an immutable sorted table of teams or services.
 *
 * A changed table is a new one that shares all but one chunk of items with the old one, so that a
 * change costs a copy of some dozen pointers whatever the number of items.
 */
struct config_table;

/* One team or service. Shared by reference count and not changed after it is in a table. */
struct config_item {
	int refs;
	char author[64]; /* of the record that last touched it */
	union {
		char name[64]; /* the first member of both */
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
/* config_table_find - item of that name or NULL; its index in order of name goes to index if not
 * NULL. */
struct config_item *config_table_find(const struct config_table *t, const char *name,
				      uint32_t *index);
/* config_table_at - item by index in order of name, NULL past the end. */
struct config_item *config_table_at(const struct config_table *t, size_t i);
/* config_table_put - the table with item added or in place of the one of its name. Takes the
 * reference. */
struct config_table *config_table_put(const struct config_table *t, struct config_item *item);
/* config_table_remove - the table without that name, which must be in t. */
struct config_table *config_table_remove(const struct config_table *t, const char *name);

#endif
