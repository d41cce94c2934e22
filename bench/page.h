#ifndef BENCH_PAGE_H
#define BENCH_PAGE_H

#include "slopes.h"

/*
 * page - generates the tables of docs/CAPACITY.md
 *
 * A table stands between the lines "<!-- table NAME -->" and "<!-- end -->".
 */

/*
 * page_rebuild - returns text with all tables recomputed, freed by the caller with g_free()
 *
 * NULL if a table is unknown or has no end, with the reason in st.
 */
char *page_rebuild(const char *text, const struct slopes *slopes, struct status *st);

#endif
