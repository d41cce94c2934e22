#include <errno.h>
#include <sys/epoll.h>

#include "../connection/poll_set.h"
#include "idle_set.h"

struct idle_set {
	struct poll_set *poll;
	GQueue entries; /* struct idle_entry, in the order of their deadlines */
	idle_event_fn on_event;
	GDestroyNotify free_data;
	void *ctx;
};

struct idle_entry {
	struct idle_set *set;
	GSocket *sock;
	void *data;
	int64_t deadline_us;
	GList *link;
};

static struct idle_entry *oldest(const struct idle_set *s)
{
	return s->entries.head ? s->entries.head->data : NULL;
}

/* Takes the socket and the data out of the set; both belong to the caller. */
static GSocket *detach(struct idle_entry *e, void **data)
{
	struct idle_set *s = e->set;
	GSocket *sock = e->sock;

	*data = e->data;
	poll_set_remove(s->poll, g_socket_is_closed(sock) ? -1 : g_socket_get_fd(sock), e);
	g_queue_delete_link(&s->entries, e->link);
	g_free(e);
	return sock;
}

static void on_event(void *ctx, void *data, uint32_t events)
{
	struct idle_set *s = ctx;
	void *entry_data;
	g_autoptr(GSocket) sock = detach(data, &entry_data);

	s->on_event(s->ctx, sock, entry_data);
}

static void on_wake(void *ctx)
{
	struct idle_set *s = ctx;
	int64_t now_us = g_get_monotonic_time();

	while (oldest(s) && oldest(s)->deadline_us <= now_us)
		on_event(s, oldest(s), 0);
	if (oldest(s))
		poll_set_wake_at(s->poll, oldest(s)->deadline_us);
}

struct idle_set *idle_set_create(idle_event_fn on_idle_event, GDestroyNotify free_data, void *ctx)
{
	struct idle_set *s = g_new0(struct idle_set, 1);

	s->poll = poll_set_create(on_event, on_wake, s);
	if (!s->poll) {
		g_free(s);
		return NULL;
	}
	g_queue_init(&s->entries);
	s->on_event = on_idle_event;
	s->free_data = free_data;
	s->ctx = ctx;
	return s;
}

void idle_set_destroy(struct idle_set *s)
{
	if (!s)
		return;
	while (oldest(s)) {
		void *data;
		g_autoptr(GSocket) sock = detach(oldest(s), &data);

		s->free_data(data);
	}
	poll_set_destroy(s->poll);
	g_free(s);
}

bool idle_set_add(struct idle_set *s, GSocket *sock, uint32_t idle_ms, void *data)
{
	struct idle_entry *e = g_new0(struct idle_entry, 1);

	if (!poll_set_add(s->poll, g_socket_get_fd(sock), EPOLLIN, e)) {
		int err = errno;

		s->free_data(data);
		g_free(e);
		errno = err;
		return false;
	}
	e->set = s;
	e->sock = g_object_ref(sock);
	e->data = data;
	e->deadline_us = g_get_monotonic_time() + (int64_t)idle_ms * 1000;
	g_queue_push_tail(&s->entries, e);
	e->link = s->entries.tail;
	if (s->entries.length == 1)
		poll_set_wake_at(s->poll, e->deadline_us);
	return true;
}
