#ifndef CELL_BOOK_H
#define CELL_BOOK_H

#include "request/cell_job.h"

/*
 * book - the jobs of a cell, as read from the job log.
 *
 * Keys of the log: ID for the job as accepted, ID/c if it was cancelled, ID/p for its progress. A
 * key without a value is dropped. The records of one job may be read in any order.
 */
struct book;

struct book_ops {
	/* changed - the job was read, or cancelled. May be NULL. */
	void (*changed)(void *ctx, struct cell_job *j);
	/* dropped - the job is about to be forgotten. May be NULL. */
	void (*dropped)(void *ctx, struct cell_job *j);
};

struct book *book_create(void);
void book_destroy(struct book *b);
void book_watch(struct book *b, const struct book_ops *ops, void *ctx);
/* book_apply - one record; false if it can't be read, which leaves the book as it was. */
bool book_apply(struct book *b, const char *key, const uint8_t *value, size_t size);
/*
 * book_offer - a job whose record is being stored; true if it is one that was not known. It is
 * tentative until book_apply() with the same key, or book_withdraw().
 */
bool book_offer(struct book *b, const char *key, const uint8_t *value, size_t size);
/* book_withdraw - forgets the job if it is still tentative; false if it is not. */
bool book_withdraw(struct book *b, const char *id);
/* book_find - NULL if the job was not read, or only other records of it; it may be tentative. */
struct cell_job *book_find(const struct book *b, const char *id);
/* book_find_task - the number of the task of that name in its job *j; UINT32_MAX if there is none.
 */
uint32_t book_find_task(const struct book *b, const char *name, struct cell_job **j);
/* book_waiting - jobs of the queue for which no task was started, and that have not ended. */
uint32_t book_waiting(const struct book *b, const char *queue);
void book_each(const struct book *b, void (*fn)(void *ctx, struct cell_job *j), void *ctx);
uint32_t book_count(const struct book *b);

#endif
