#ifndef TESTS_NODE_FAKESTORE_H
#define TESTS_NODE_FAKESTORE_H

#include "ports.h"

/*
 * fakestore - a log service in memory. Calls wait until fake_serve(); each client of it has a mode
 * of its own, so that it can be away for one of them. Time is fake_now_ms.
 */
enum fake_mode {
	FAKE_OK = 0,
	FAKE_REFUSES,	  /* surely nothing is done */
	FAKE_SILENT,	  /* nothing is done and nobody knows */
	FAKE_LOSES_REPLY, /* it is done and nobody knows */
};

struct fake_log;
struct fake_client;

extern int64_t fake_now_ms;

struct fake_log *fake_log_create(void);
void fake_log_destroy(struct fake_log *l);
/* fake_client_create - a view of the log; owned by the log. */
struct fake_client *fake_client_create(struct fake_log *l);
struct store fake_store(struct fake_client *c);
void fake_set_mode(struct fake_client *c, enum fake_mode mode);
/* fake_drop_calls - the client is gone: its calls are not answered any more. */
void fake_drop_calls(struct fake_client *c);
/* fake_serve - answers the calls that wait; those that wait for a record only once it is there. */
void fake_serve(struct fake_log *l);
/*
 * fake_hold_reads - keeps the answers of reads of a partition back, as they are now, until
 * fake_release_reads().
 */
void fake_hold_reads(struct fake_client *c, const char *topic, uint32_t part);
void fake_release_reads(struct fake_client *c, const char *topic, uint32_t part);
/*
 * fake_hold_appends - does the appends that wait, and keeps their answers until
 * fake_release_appends().
 */
void fake_hold_appends(struct fake_client *c);
void fake_release_appends(struct fake_client *c);
/* fake_add_record - a record of somebody else. */
void fake_add_record(struct fake_log *l, const char *topic, uint32_t part, const char *key,
		     const uint8_t *value, size_t size);
uint32_t fake_record_count(struct fake_log *l, const char *topic, uint32_t part);
/* fake_append_calls - calls of this client that appended, or tried to. */
uint32_t fake_append_calls(const struct fake_client *c);

#endif
