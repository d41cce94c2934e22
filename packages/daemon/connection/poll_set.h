#ifndef DAEMON_POLL_SET_H
#define DAEMON_POLL_SET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * poll_set - descriptors that share one source of the default main context, by epoll. With sources
 * of their own, each turn of the loop would cost time in proportion to their number.
 */
struct poll_set;

/* Called with the data of a descriptor and what epoll has reported for it. May change the set. */
typedef void (*poll_event_fn)(void *ctx, void *data, uint32_t events);
/* Called at the time of poll_set_wake_at(), once, after the events of that turn. */
typedef void (*poll_wake_fn)(void *ctx);

/*
 * poll_set_create - opens an epoll descriptor; NULL with errno if there is none left. on_wake may
 * be NULL.
 */
struct poll_set *poll_set_create(poll_event_fn on_event, poll_wake_fn on_wake, void *ctx);
/* poll_set_destroy - the descriptors stay open; no function is called any more. */
void poll_set_destroy(struct poll_set *s);
/*
 * poll_set_add, poll_set_change - wait for these events (EPOLLIN, EPOLLOUT), as long as they last.
 * False with errno if the descriptor can't be polled. The data must differ from all others.
 */
bool poll_set_add(struct poll_set *s, int fd, uint32_t events, void *data);
bool poll_set_change(struct poll_set *s, int fd, uint32_t events, void *data);
/* poll_set_remove - fd -1: it is closed already. No event with this data is reported any more. */
void poll_set_remove(struct poll_set *s, int fd, const void *data);
/* poll_set_wake_at - in microseconds of the monotonic clock; -1 for never. */
void poll_set_wake_at(struct poll_set *s, int64_t time_us);

#endif
