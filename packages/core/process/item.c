#include <stddef.h>

#include "item.h"

void item_list_append(struct item_list *l, struct item *it)
{
	it->next = NULL;
	it->prev = l->last;
	if (l->last)
		l->last->next = it;
	else
		l->first = it;
	l->last = it;
	l->n++;
}

void item_list_prepend(struct item_list *l, struct item *it)
{
	it->prev = NULL;
	it->next = l->first;
	if (l->first)
		l->first->prev = it;
	else
		l->last = it;
	l->first = it;
	l->n++;
}

void item_list_remove(struct item_list *l, struct item *it)
{
	if (it->prev)
		it->prev->next = it->next;
	else
		l->first = it->next;
	if (it->next)
		it->next->prev = it->prev;
	else
		l->last = it->prev;
	it->prev = NULL;
	it->next = NULL;
	l->n--;
}
