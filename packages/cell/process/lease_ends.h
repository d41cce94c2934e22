#ifndef CELL_LEASE_ENDS_H
#define CELL_LEASE_ENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * lease_ends - the runners whose leases nobody renews, as read from the job log.
 *
 * A scheduler stops renewing the lease of a silent runner. It writes how much of the lease is left,
 * so that its successors don't have to wait for a whole lease again. The record binds all
 * schedulers: a runner that it names gets no lease until a record that doesn't name it is stored.
 *
 * Nodes share no clock, so the record holds the time left when it was written. A reader counts it
 * from the time at which it reads the record, which is later.
 */
#define LEASE_ENDS_KEY	     "lease-ends"
#define LEASE_ENDS_MAX_BYTES 131072 /* half of the largest record; further runners are left out */

struct lease_ends;

struct lease_end {
	const char *runner;
	int64_t incarnation_ms;
	int64_t end_ms; /* all leases of this incarnation have ended by then */
};

struct lease_ends *lease_ends_create(void);
void lease_ends_destroy(struct lease_ends *l);
/*
 * lease_ends_apply - applies a record that was read at now_ms; size 0 means that the key was
 * deleted. A record that is read again keeps the time at which it was first read. Returns false,
 * with no change, if it is another key or can't be read.
 */
bool lease_ends_apply(struct lease_ends *l, const char *key, const uint8_t *value, size_t size,
		      int64_t now_ms);
/* lease_ends_reload - forgets the record, as the log is read again from its beginning. */
void lease_ends_reload(struct lease_ends *l);
/* lease_ends_each - l may be NULL. The runner's id is valid during the call. */
void lease_ends_each(const struct lease_ends *l, void (*fn)(void *ctx, const struct lease_end *end),
		     void *ctx);
/*
 * lease_ends_pack - packs a record at now_ms of the runners in ends (struct lease_end), which are
 * not none. term and batch: different for each record. Stores the number of runners that the record
 * names, the first ones, in *named. The caller owns the result (g_free).
 */
uint8_t *lease_ends_pack(const GArray *ends, uint64_t term, uint64_t batch, int64_t now_ms,
			 guint *named, size_t *size);

#endif
